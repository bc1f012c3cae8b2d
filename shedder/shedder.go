package shedder

import (
	"math"

	"cowslipbend.dev"
	"cowslipbend.dev/predictor"
	"cowslipbend.dev/sequencer"
)

// Parameters of the decision.
const (
	// MaxSummaryAge is the age from which a summary refuses nothing. A burst of
	// submissions is placed, or lapses, within it.
	MaxSummaryAge = 2 * cowslipbend.Second
	// minFreeShare is the share of free processors from which nothing is refused.
	// Less remains free between tasks that do not fit.
	minFreeShare = 0.1
	// waitShare is the part of the expected wait that counts, for errors of the
	// lengths of the waiting tasks. It counts once more with each repeated attempt,
	// as callers try only a few times and the last refusal costs them the flow.
	waitShare = 0.75
	// lengthDeviations is how many standard deviations the run times of a flow may
	// differ from the expected ones in its favour.
	lengthDeviations = 1.0
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may
	// return.
	minRetryAfter = cowslipbend.Second
	maxRetryAfter = 15 * cowslipbend.Second
)

// Reason is why a flow is refused or not.
type Reason string

// The reasons.
const (
	// Overload means that the flow is refused.
	Overload Reason = "overload"
	// NoBound means that the flow has no time after which it is useless.
	NoBound Reason = "no bound"
	// NoBacklog means that the summary does not mention the hosts or the queue.
	NoBacklog Reason = "no backlog"
	// Room means that processors are free.
	Room Reason = "room"
	// UnknownLength means that the run times of a step are not known.
	UnknownLength Reason = "unknown length"
	// Useful means that the flow may still be useful.
	Useful Reason = "useful"
)

// Verdict is the decision on a flow with its inputs.
type Verdict struct {
	Reason Reason
	// RetryAfter is when a refused caller may return.
	RetryAfter cowslipbend.Span
	// Work is the least expected work of the flow and Ahead the work that goes before
	// it, both in core seconds.
	Work, Ahead float64
	// Wait is the least time until its first task starts, Chain its shortest run time
	// after that, and UsefulFor the longest time for which it may be useful.
	Wait, Chain, UsefulFor cowslipbend.Span
	// Capacity and Free are processors.
	Capacity, Free cowslipbend.Millicores
}

// Refused reports whether the flow is refused.
func (v *Verdict) Refused() bool { return v.Reason == Overload }

// Decide decides on a flow with the policy that has been refused the given number of
// times before.
func Decide(s *Summary, f *cowslipbend.Flow, policy *cowslipbend.FlowPolicy, attempts int) Verdict {
	if policy.UsefulFactor <= 0 || (policy.LatencyFactor <= 0 && policy.LatencyAllowance <= 0) || f.Rounds > 0 || f.HasLastingStep() {
		return Verdict{Reason: NoBound}
	}
	pool, queue := s.pool(policy.Service), s.queue(f.Queue)
	if pool == nil || queue == nil {
		return Verdict{Reason: NoBacklog}
	}
	v := Verdict{Capacity: pool.Capacity, Free: pool.Free}
	if fills(f) {
		v.Capacity, v.Free = pool.FillingCapacity, pool.Idle
	}
	if v.Capacity <= 0 || float64(v.Free) >= minFreeShare*float64(v.Capacity) {
		v.Reason = Room
		return v
	}
	low, high, work, known := s.estimate(f)
	if !known {
		v.Reason = UnknownLength
		return v
	}
	v.Work, v.Chain = work, low
	higher, own := pool.ahead(newcomer{
		queue: f.Queue, priority: policy.Priority, fills: fills(f), large: work > queue.MeanWork, density: sequencer.Density(work, work, queue.MeanWork),
	})
	target := policy.LatencyFactor*float64(high) + float64(policy.LatencyAllowance)
	perCoreSecond := float64(cowslipbend.Core) / float64(v.Capacity) * float64(cowslipbend.Second)
	// Flows of the own queue that are older fall behind this one once they are late.
	wait := higher*perCoreSecond + min(own*perCoreSecond, target)
	v.Ahead = higher + own
	v.Wait = cowslipbend.Span(wait * math.Pow(waitShare, float64(attempts+1)))
	v.UsefulFor = cowslipbend.Span(max(policy.UsefulFactor, 1) * target)
	v.Reason = Useful
	if excess := v.Wait + v.Chain - v.UsefulFor; excess > 0 {
		v.Reason, v.RetryAfter = Overload, retryAfter(excess, f.ID)
	}
	return v
}

// retryAfter returns when the caller of a refused flow may return: once the backlog
// will have shrunk by the excess, spread by flow over as much time again, so that the
// refused callers do not return together.
func retryAfter(excess cowslipbend.Span, id cowslipbend.JobID) cowslipbend.Span {
	spread := max(excess, minRetryAfter)
	place := float64(cowslipbend.HashStrings([]string{string(id)})) / math.MaxUint32
	return min(max(excess+cowslipbend.Span(place*float64(spread)), minRetryAfter), maxRetryAfter)
}

// fills reports whether any step uses only processors that others leave idle.
func fills(f *cowslipbend.Flow) bool {
	for i := range f.Steps {
		if f.Steps[i].Fills {
			return true
		}
	}
	return false
}

// estimate returns the shortest and the longest expected time of the chain of steps,
// and the least work. It returns false if the length of a step is not known.
func (s *Summary) estimate(f *cowslipbend.Flow) (low, high cowslipbend.Span, work float64, known bool) {
	lows, highs := make([]cowslipbend.Span, len(f.Steps)), make([]cowslipbend.Span, len(f.Steps))
	for i := range f.Steps {
		def := &f.Steps[i]
		estimate := s.length(predictor.ClassOf(f.Queue, def.Image))
		if estimate == nil {
			return 0, 0, 0, false
		}
		shortest, longest := estimate.Range(def.Length, lengthDeviations)
		for _, dep := range def.DependsOn {
			lows[i], highs[i] = max(lows[i], lows[dep]), max(highs[i], highs[dep])
		}
		lows[i], highs[i] = lows[i]+shortest, highs[i]+longest
		low, high = max(low, lows[i]), max(high, highs[i])
		work += float64(def.Count) * float64(def.Size.CPU) / float64(cowslipbend.Core) * float64(shortest) / float64(cowslipbend.Second)
	}
	return low, high, work, true
}
