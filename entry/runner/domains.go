package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/cordoner"
)

// Times of the reads of the failure domains out of service.
const (
	// domainPollInterval is the time between two reads.
	domainPollInterval = 500 * cowslipbend.Millisecond
	// maxDomainAge is the age of the last answer from which no tasks are
	// assigned. It exceeds two reads that time out.
	maxDomainAge = 5 * cowslipbend.Second
)

// domainView is what the owners of pools and the router see of the failure
// domains out of service. Requests are routed by what was last known.
type domainView struct {
	*cordoner.Cordoner
	clock cowslipbend.Clock
}

// Out reports whether a domain is out of service.
func (d *domainView) Out(domain cowslipbend.Domain) bool { return d.Has(domain) }

// Known reports whether the rows were read, and lately enough to assign tasks.
func (d *domainView) Known() bool {
	return d.Reads() > 0 && d.clock.Now().Sub(d.AskedAt()) <= maxDomainAge
}

// readDomains reads the rows of the failure domains out of service.
func (e *Entry) readDomains(ctx context.Context) error {
	ticket := e.domains.BeginRead(e.clock.Now())
	rows, err := e.store.Scan(ctx, administrator.DomainPrefix, "", administrator.MaxDomains)
	if err != nil {
		return nil //nolint:nilerr // Known tells how old the last answer is.
	}
	e.domains.ApplyRows(ticket, rows, e.clock.Now())
	return nil
}
