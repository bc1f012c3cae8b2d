package router

import (
	"sync"

	"cowslipbend.dev"
)

// Parameters of an outage.
const (
	outageAfter = 3                             // failed transactions in a row
	outageProbe = 250 * cowslipbend.Millisecond // between two tries while it lasts
)

// outage knows whether the table answers, so that requests are told at once
// while it does not, and only a few try whether it is back.
type outage struct {
	mu     sync.Mutex
	failed int // transactions in a row
	next   cowslipbend.Time
}

// note takes the result of a transaction.
func (o *outage) note(now cowslipbend.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindDown, cowslipbend.KindUnknown:
		o.failed++
		o.next = now.Add(outageProbe)
	default:
		o.failed = 0
	}
}

// refuse returns KindDown while the table is out, but for a try now and then.
func (o *outage) refuse(now cowslipbend.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed < outageAfter {
		return nil
	}
	if now >= o.next {
		o.next = now.Add(outageProbe)
		return nil
	}
	return &cowslipbend.Error{
		Kind: cowslipbend.KindDown, What: "the platform's table is out", Remedy: "ask again with the same id", After: cowslipbend.Second,
	}
}
