package speculator

import (
	"cowslipbend.dev"
)

// Limits of records.
const (
	// minBad is the number of useless attempts from which further ones may be
	// withheld, and recordHalfLife the time in which an attempt counts half, after
	// which a few more are made.
	minBad         = 3
	recordHalfLife = 20 * cowslipbend.Second
)

// Record counts how often new runs of a kind of task were faster than those that
// stood out. Where the tasks themselves differ, rather than their runs, new runs
// take as long and their work is wasted.
type Record struct {
	good, bad float64
	halvedAt  cowslipbend.Time
}

// Add counts a new run that was faster, or one that was not.
func (r *Record) Add(faster bool, now cowslipbend.Time) {
	r.decay(now)
	if faster {
		r.good++
	} else {
		r.bad++
	}
}

// Allows reports whether further new runs are worth it. They are unless most of
// the last ones were not faster.
func (r *Record) Allows(now cowslipbend.Time) bool {
	r.decay(now)
	return r.bad < minBad || r.bad <= r.good
}

func (r *Record) decay(now cowslipbend.Time) {
	if r.halvedAt == 0 {
		r.halvedAt = now
	}
	for ; now.Sub(r.halvedAt) >= recordHalfLife && (r.good > 0 || r.bad > 0); r.halvedAt = r.halvedAt.Add(recordHalfLife) {
		if r.good, r.bad = r.good/2, r.bad/2; r.good+r.bad < 0.1 {
			r.good, r.bad, r.halvedAt = 0, 0, now
			return
		}
	}
	if r.good+r.bad == 0 {
		r.halvedAt = now
	}
}
