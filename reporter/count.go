package reporter

import (
	"time"

	"cowslipbend.dev"
)

// Cause says why a request counts against the budget of its service.
type Cause string

// The causes. Good and limited requests burn no budget.
const (
	// Good requests were answered whole and in time.
	Good Cause = "good"
	// Late requests were answered after the objective's time.
	Late Cause = "late"
	// Refused requests were given up without having run.
	Refused Cause = "refused"
	// Failed requests ran and were answered with an error of the endpoint.
	Failed Cause = "failed"
	// Unknown requests may have run.
	Unknown Cause = "unknown"
	// Limited requests exceeded the limit of their team or service.
	Limited Cause = "limited"
	// none marks a request that was itself wrong and is not counted.
	none Cause = ""
)

// Counts sums requests by cause.
type Counts struct {
	Good    int64 `json:"good"`
	Late    int64 `json:"late"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	Unknown int64 `json:"unknown"`
	Limited int64 `json:"limited"`
}

// Total returns the requests that the objective is about.
func (c Counts) Total() int64 { return c.Good + c.Bad() }

// Bad returns the requests that burn budget.
func (c Counts) Bad() int64 { return c.Late + c.Refused + c.Failed + c.Unknown }

// Plus returns the sum.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Good: c.Good + o.Good, Late: c.Late + o.Late, Refused: c.Refused + o.Refused,
		Failed: c.Failed + o.Failed, Unknown: c.Unknown + o.Unknown, Limited: c.Limited + o.Limited,
	}
}

func (c *Counts) add(cause Cause) {
	switch cause {
	case Good:
		c.Good++
	case Late:
		c.Late++
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Unknown:
		c.Unknown++
	case Limited:
		c.Limited++
	case none:
	}
}

// Classify returns the cause for a request of a service that promises answers
// within the bound. An error of a request that ran is one of its endpoint.
func Classify(outcome cowslipbend.Outcome, kind cowslipbend.Kind, took time.Duration, bound cowslipbend.Span) Cause {
	switch outcome {
	case cowslipbend.Ran:
		switch {
		case kind != "":
			return Failed
		case took > bound.Duration():
			return Late
		}
		return Good
	case cowslipbend.Uncertain:
		return Unknown
	case cowslipbend.NotRun:
	}
	switch kind {
	case cowslipbend.KindInvalid, cowslipbend.KindMissing, cowslipbend.KindDenied, cowslipbend.KindConflict:
		return none
	case cowslipbend.KindLimited:
		return Limited
	}
	return Refused
}
