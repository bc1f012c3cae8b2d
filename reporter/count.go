package reporter

import (
	"time"

	"cowslipbend.dev"
)

// Cause classifies a request by its effect on the error budget of its service.
type Cause string

// The causes. Good and limited requests burn no budget.
const (
	// Good requests were answered completely within the objective's time.
	Good Cause = "good"
	// Late requests were answered after the objective's time.
	Late Cause = "late"
	// Refused requests did not run.
	Refused Cause = "refused"
	// Failed requests ran and the endpoint answered with an error.
	Failed Cause = "failed"
	// Unknown requests may have run.
	Unknown Cause = "unknown"
	// Limited requests exceeded the limit of their team or service.
	Limited Cause = "limited"
	// notCounted requests were invalid themselves.
	notCounted Cause = ""
)

// Counts holds the number of requests by cause.
type Counts struct {
	Good    int64 `json:"good"`
	Late    int64 `json:"late"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	Unknown int64 `json:"unknown"`
	Limited int64 `json:"limited"`
}

// Total returns the number of requests that the objective covers. Limited
// requests are not among them.
func (c Counts) Total() int64 { return c.Good + c.Bad() }

// Bad returns the number of requests that burn budget.
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
	case notCounted:
	}
}

// Classify returns the cause of a request of a service whose objective is to
// answer within maxLatency. An error of a request that ran is attributed to
// the endpoint.
func Classify(outcome cowslipbend.Outcome, kind cowslipbend.Kind, latency time.Duration, maxLatency cowslipbend.Span) Cause {
	switch outcome {
	case cowslipbend.Ran:
		switch {
		case kind != "":
			return Failed
		case latency > maxLatency.Duration():
			return Late
		}
		return Good
	case cowslipbend.Uncertain:
		return Unknown
	case cowslipbend.NotRun:
	}
	switch kind {
	case cowslipbend.KindInvalid, cowslipbend.KindMissing, cowslipbend.KindDenied, cowslipbend.KindConflict:
		return notCounted
	case cowslipbend.KindLimited:
		return Limited
	}
	return Refused
}
