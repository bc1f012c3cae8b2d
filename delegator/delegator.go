package delegator

import (
	"sync"

	"cowslipbend.dev"
)

const (
	// slowCommit is the duration from which a commit shows that the store is slow:
	// several times a commit across regions, and a small part of the three seconds
	// for which callers wait.
	slowCommit = 150 * cowslipbend.Millisecond
	// slowTime is how long the store counts as slow after the last sign of it. It
	// spans the pauses between submissions to one entry, so that entries don't
	// return to writing one by one.
	slowTime = 2 * cowslipbend.Second
)

// Delegator follows the duration of commits. It is safe for concurrent use.
type Delegator struct {
	mu sync.Mutex
	// began is when the commit in progress began, zero if there is none.
	began cowslipbend.Time
	// lastCommit is the duration of the last commit, or of the last one that the
	// owner has reported.
	lastCommit cowslipbend.Span
	slowUntil  cowslipbend.Time
}

// BeginCommit records that this entry begins a commit. It has at most one in
// progress.
func (d *Delegator) BeginCommit(now cowslipbend.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.began = now
}

// EndCommit records that the commit in progress has ended, with or without an
// answer of the store, and returns its duration.
func (d *Delegator) EndCommit(now cowslipbend.Time) cowslipbend.Span {
	d.mu.Lock()
	defer d.mu.Unlock()
	duration := now.Sub(d.began)
	d.record(duration, now)
	d.began = 0
	return duration
}

// RecordOverload records that the store has rejected a transaction since too many
// wait.
func (d *Delegator) RecordOverload(now cowslipbend.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowUntil = now.Add(slowTime)
}

// RecordOwner records the duration of a commit that the owner has reported.
func (d *Delegator) RecordOwner(duration cowslipbend.Span, now cowslipbend.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(duration, now)
}

func (d *Delegator) record(duration cowslipbend.Span, now cowslipbend.Time) {
	d.lastCommit = duration
	if duration >= slowCommit {
		d.slowUntil = now.Add(slowTime)
	}
}

// CommitTime returns how long a commit takes now: the duration of the last one, or
// the time for which the one in progress has lasted if that is longer.
func (d *Delegator) CommitTime(now cowslipbend.Time) cowslipbend.Span {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.commitTime(now)
}

func (d *Delegator) commitTime(now cowslipbend.Time) cowslipbend.Span {
	if d.began == 0 {
		return d.lastCommit
	}
	return max(d.lastCommit, now.Sub(d.began))
}

// IsSlow reports whether the store is slow. An entry that is not the owner then
// has the owner store its submissions.
func (d *Delegator) IsSlow(now cowslipbend.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now < d.slowUntil || (d.began > 0 && now.Sub(d.began) >= slowCommit)
}
