package predictor

import "cowslipbend.dev"

// Limits of estimates from the progress of a run.
const (
	// minPercent is the progress from which a run tells its length, and minElapsed
	// the time for which it must have been observed: the moment of its start is
	// known to some ten milliseconds.
	minPercent = 20
	minElapsed = 300 * cowslipbend.Millisecond
	// fullPercent is the progress from which only the run's own speed counts for its
	// expected end.
	fullPercent = 40
	// overdueShare is the part of its expected length that a run is expected to take
	// on if it has not ended after that length and has not told its progress.
	overdueShare = 0.1
)

// Track follows the progress of one run. Its times are on the clock of the caller's
// process. The zero value is a run that has not started.
type Track struct {
	// startedAt is when the run had made the progress startPercent.
	startedAt    cowslipbend.Time
	startPercent int
	// percent is the last progress, and changedAt when it was first listed.
	percent   int
	changedAt cowslipbend.Time
	// listedAt is the time of the last list, and lists their number. work is the use
	// of processors since the first list, whose figure covers part of the start, in
	// thousandths of a core times milliseconds, and workSpan the time of that use.
	listedAt cowslipbend.Time
	lists    int
	work     float64
	workSpan cowslipbend.Span
}

// Start records the start of a run without a checkpoint. The speed of others is known
// from the second list on, as the first one tells how much was done before.
func (t *Track) Start(now cowslipbend.Time) {
	if t.startedAt == 0 {
		t.startedAt, t.changedAt, t.listedAt = now, now, now
	}
}

// Observe records the progress and the processors in use at a time.
func (t *Track) Observe(percent int, used cowslipbend.Millicores, at cowslipbend.Time) {
	if t.startedAt == 0 {
		t.startedAt, t.startPercent, t.percent, t.changedAt, t.listedAt, t.lists = at, percent, percent, at, at, 1
		return
	}
	if at <= t.listedAt {
		return
	}
	if t.lists > 0 {
		t.work += float64(used) * float64(at.Sub(t.listedAt))
		t.workSpan += at.Sub(t.listedAt)
	}
	t.lists++
	t.listedAt = at
	t.advance(percent, at)
}

// advance records progress.
func (t *Track) advance(percent int, at cowslipbend.Time) {
	if percent > t.percent {
		t.percent, t.changedAt = percent, at
	}
}

// End records that the run is done.
func (t *Track) End(now cowslipbend.Time) {
	if t.startedAt != 0 {
		t.advance(100, now)
	}
}

// Length returns the estimate of the whole length of the run, or zero if the run has
// not been followed for long enough. The full processors are those that a filling
// run uses at full speed, at which it would have taken less time if it used fewer.
// They are zero for other runs.
func (t *Track) Length(full cowslipbend.Millicores) cowslipbend.Span {
	done, elapsed := t.percent-t.startPercent, t.changedAt.Sub(t.startedAt)
	if done < minPercent || elapsed < minElapsed {
		return 0
	}
	speed := 1.0
	if full > 0 {
		if t.workSpan == 0 {
			return 0
		}
		speed = min(t.work/float64(t.workSpan)/float64(full), 1)
	}
	return cowslipbend.Span(speed * float64(elapsed) * 100 / float64(done))
}

// ExpectEnd returns when the run is expected to end at its present speed. The length
// is that which is expected of the tasks of its step.
func (t *Track) ExpectEnd(length cowslipbend.Span, now cowslipbend.Time) cowslipbend.Time {
	if t.startedAt == 0 {
		return now.Add(length)
	}
	rest := float64(length) * float64(100-t.percent) / 100
	if done, elapsed := t.percent-t.startPercent, t.changedAt.Sub(t.startedAt); done > 0 && elapsed > 0 {
		own := float64(elapsed) * float64(100-t.percent) / float64(done)
		weight := min(float64(done)/fullPercent, 1)
		rest = weight*own + (1-weight)*rest
	}
	end := t.changedAt.Add(cowslipbend.Span(rest))
	if end < now && t.percent < 100 {
		return now.Add(cowslipbend.Span(overdueShare * float64(length)))
	}
	return max(end, now)
}
