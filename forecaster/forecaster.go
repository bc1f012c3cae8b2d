package forecaster

import (
	"cowslipbend.dev"
)

const (
	// sampleCount is the number of answered writes that count. Their longest time is
	// used, as a caller is lost if a write takes longer than predicted.
	sampleCount = 3
	// minSilence is the time without an answer from which on a write that failed tells
	// that the store is slow. One that fails sooner has lost its connection.
	minSilence = 300 * cowslipbend.Millisecond
	// trialInterval is the time after the last write at which one is let through
	// although it is not expected to be answered in time: without any, nothing would
	// show that the store is fast again.
	trialInterval = cowslipbend.Second
)

// Write is a write that waits for its answer.
type Write int64

// Forecaster predicts the time of writes. It is not safe for concurrent use.
type Forecaster struct {
	samples [sampleCount]cowslipbend.Span
	next    int
	// silentSince is the beginning of the first of the writes that were not answered
	// since the last answer, or zero.
	silentSince cowslipbend.Time
	// failedAt is when the last of these writes ended.
	failedAt cowslipbend.Time
	// outstanding holds when the writes that wait for their answers began.
	outstanding map[Write]cowslipbend.Time
	lastWrite   Write
	// triedAt is when a write last began, ended, or was let through.
	triedAt cowslipbend.Time
}

// New returns a forecaster that expects no delay.
func New() *Forecaster { return &Forecaster{outstanding: map[Write]cowslipbend.Time{}} }

// Begin records that a write is sent.
func (f *Forecaster) Begin(now cowslipbend.Time) Write {
	f.lastWrite++
	f.outstanding[f.lastWrite], f.triedAt = now, now
	return f.lastWrite
}

// Answer records that a write was answered.
func (f *Forecaster) Answer(w Write, now cowslipbend.Time) {
	f.addSample(now.Sub(f.outstanding[w]))
	f.silentSince = 0
	f.end(w, now)
}

// Found records that a write which had failed was found to have taken effect by then.
// The store applies writes, so it is not silent.
func (f *Forecaster) Found(took cowslipbend.Span) {
	f.addSample(took)
	f.silentSince = 0
}

func (f *Forecaster) addSample(took cowslipbend.Span) {
	f.samples[f.next] = took
	f.next = (f.next + 1) % sampleCount
}

// Fail records that a write has ended without an answer.
func (f *Forecaster) Fail(w Write, now cowslipbend.Time) {
	if began := f.outstanding[w]; now.Sub(began) >= minSilence {
		f.failedAt = now
		if f.silentSince == 0 {
			f.silentSince = began
		}
	}
	f.end(w, now)
}

func (f *Forecaster) end(w Write, now cowslipbend.Time) {
	delete(f.outstanding, w)
	f.triedAt = now
}

// Expected returns the time until the answer to a write that is to be sent now. Writes
// of submissions follow each other, so that one waits for the rest of the last.
func (f *Forecaster) Expected(now cowslipbend.Time) cowslipbend.Span {
	var longest, oldest cowslipbend.Span
	for _, s := range f.samples {
		longest = max(longest, s)
	}
	for _, began := range f.outstanding {
		oldest = max(oldest, now.Sub(began))
	}
	longest = max(longest, oldest)
	if f.silentSince > 0 {
		// Silences of unknown length last on average about as long again as they have
		// lasted.
		longest = max(longest, 2*f.failedAt.Sub(f.silentSince))
	}
	if len(f.outstanding) == 0 {
		return longest
	}
	return longest - oldest + longest
}

// Admit reports whether a write is to be sent whose answer is needed within the span:
// it is expected in time, or it is the one that finds out whether the store is fast
// again.
func (f *Forecaster) Admit(now cowslipbend.Time, within cowslipbend.Span) bool {
	if f.Expected(now) <= within {
		return true
	}
	if len(f.outstanding) > 0 || now.Sub(f.triedAt) < trialInterval {
		return false
	}
	f.triedAt = now
	return true
}
