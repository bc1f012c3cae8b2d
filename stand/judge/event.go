package judge

import (
	"golang.org/x/sys/unix"

	"cowslipbend.dev"
)

// Kind tells what an event states.
type Kind string

// The kinds of events.
const (
	Ran      Kind = "ran"      // an endpoint executed a request
	NotRun   Kind = "notrun"   // a caller was told that its request was not run
	Wrong    Kind = "wrong"    // a caller got an answer not whole or not its own
	Began    Kind = "began"    // an attempt runs on a worker, at first or after a freeze
	Ended    Kind = "ended"    // an attempt no longer runs there
	Saved    Kind = "saved"    // an attempt wrote a checkpoint
	Acked    Kind = "acked"    // the system acknowledged the end of an attempt
	Finished Kind = "finished" // an attempt ran to the end of its task
	Failed   Kind = "failed"   // an attempt ended in failure
	Died     Kind = "died"     // a worker failed with all that it knew
	Over     Kind = "over"     // a worker or endpoint went over its capacity
)

// Moment is a time in nanoseconds on the host's CLOCK_BOOTTIME, which all
// processes of the host share, so that events of several are put in order.
type Moment int64

// Now returns the present moment.
func Now() Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("judge: no CLOCK_BOOTTIME: " + err.Error()) // Linux has it since 2.6.39.
	}
	return Moment(ts.Nano())
}

// perMilli is the count of nanoseconds in a millisecond.
const perMilli = 1_000_000

// MomentOf returns the moment of a time on the same clock.
func MomentOf(t cowslipbend.Time) Moment { return Moment(t) * perMilli }

// Event is one thing that a stand-in saw. Fields that a kind does not use are
// empty.
type Event struct {
	Kind Kind   `json:"k"`
	At   Moment `json:"at"`
	// Nonce names one sending of a request; ID is the caller's id that all
	// sendings of a non-idempotent request share; From is when it was sent.
	Nonce string `json:"n,omitempty"`
	ID    string `json:"id,omitempty"`
	From  Moment `json:"from,omitempty"`
	// Task, Attempt and Worker name an attempt; Checkpoint is the one that
	// was written, or that the attempt resumed from.
	Task       cowslipbend.TaskID   `json:"t,omitempty"`
	Attempt    cowslipbend.Attempt  `json:"a,omitempty"`
	Worker     cowslipbend.WorkerID `json:"w,omitempty"`
	Life       string               `json:"l,omitempty"`
	Checkpoint string               `json:"c,omitempty"`
	Reason     string               `json:"r,omitempty"`
	// CPU is the processor time of a finished task.
	CPU cowslipbend.CPUTime `json:"u,omitempty"`
}

// Recorder takes events. Note never waits and never fails.
type Recorder interface {
	Note(e Event)
}
