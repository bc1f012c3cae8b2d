package judge

import (
	"golang.org/x/sys/unix"

	"cowslipbend.dev"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	Ran             Kind = "ran"      // an endpoint executed a request
	NotRun          Kind = "notrun"   // a caller received the outcome NotRun
	WrongAnswer     Kind = "wrong"    // a caller received an incomplete answer or that of another request
	Began           Kind = "began"    // an attempt started on a worker, or resumed after a freeze
	Ended           Kind = "ended"    // an attempt stopped running, for good or by a freeze
	CheckpointSaved Kind = "saved"    // an attempt wrote a checkpoint
	EndAcked        Kind = "acked"    // the system acknowledged the end of an attempt
	Finished        Kind = "finished" // an attempt completed its task
	Failed          Kind = "failed"   // an attempt ended in failure
	WorkerDied      Kind = "died"     // a worker ended and lost its state
	OverCapacity    Kind = "over"     // a worker or endpoint exceeded its capacity
)

// Moment is a time in nanoseconds on the host's CLOCK_BOOTTIME. All processes of
// the host share this clock, so that their events can be ordered.
type Moment int64

// Now returns the present time.
func Now() Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("judge: no CLOCK_BOOTTIME: " + err.Error()) // Linux has it since 2.6.39.
	}
	return Moment(ts.Nano())
}

const nanosPerMilli = 1_000_000

// MomentOf converts a time in milliseconds on the same clock.
func MomentOf(t cowslipbend.Time) Moment { return Moment(t) * nanosPerMilli }

// Event is an observation of a simulated caller, endpoint or worker. Fields that
// its Kind does not use are empty.
type Event struct {
	Kind Kind   `json:"k"`
	At   Moment `json:"at"`
	// Nonce identifies one transmission of a request. ID is the caller's id, which
	// all transmissions of a non-idempotent request share. From is the time of the
	// transmission.
	Nonce string `json:"n,omitempty"`
	ID    string `json:"id,omitempty"`
	From  Moment `json:"from,omitempty"`
	// Task, Attempt and Worker identify an attempt. Life is the incarnation of the
	// process that posted the event. Checkpoint is the one that was written, or
	// from which the attempt resumed.
	Task       cowslipbend.TaskID   `json:"t,omitempty"`
	Attempt    cowslipbend.Attempt  `json:"a,omitempty"`
	Worker     cowslipbend.WorkerID `json:"w,omitempty"`
	Life       string               `json:"l,omitempty"`
	Checkpoint string               `json:"c,omitempty"`
	Reason     string               `json:"r,omitempty"`
	// CPU is the total processor time of a finished task.
	CPU cowslipbend.CPUTime `json:"u,omitempty"`
}

// Recorder records events. Record neither blocks on input or output nor fails.
type Recorder interface {
	Record(e Event)
}
