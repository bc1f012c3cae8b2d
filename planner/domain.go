package planner

import (
	"slices"

	"cowslipbend.dev"
)

// domains holds which failure domains are out of service, as the decisions of
// this epoch apply it.
type domains struct {
	// requested holds the domains that the operator has taken out of service,
	// out those of them that have hosts. The version of out grows with each
	// change.
	requested map[cowslipbend.Domain]bool
	out       cowslipbend.DomainsOut
	// unconfirmed is set while the knowledge is too old to place by it.
	unconfirmed bool
}

// accept reports whether runs may be placed in a domain.
func (d *domains) accept(domain cowslipbend.Domain) bool {
	return !d.unconfirmed && !d.requested[domain]
}

// SetDomains sets which failure domains the operator has taken out of service.
// Nothing is placed there, and nothing at all while this is not confirmed. It
// returns the requested domains without hosts, which have no effect.
func (p *Planner) SetDomains(requested []cowslipbend.Domain, confirmed bool) (unknown []cowslipbend.Domain) {
	p.domains.unconfirmed = !confirmed
	if len(requested) == 0 && len(p.domains.requested) == 0 {
		return nil
	}
	known := map[cowslipbend.Domain]bool{}
	for _, h := range p.hosts {
		known[h.spec.Domain] = true
	}
	p.domains.requested = make(map[cowslipbend.Domain]bool, len(requested))
	var out []cowslipbend.Domain
	for _, domain := range requested {
		p.domains.requested[domain] = true
		if known[domain] {
			out = append(out, domain)
		} else {
			unknown = append(unknown, domain)
		}
	}
	slices.Sort(out)
	if !slices.Equal(out, p.domains.out.Domains) {
		p.domains.out = cowslipbend.DomainsOut{Version: p.domains.out.Version + 1, Domains: out}
	}
	return unknown
}

// DomainsOut returns the failure domains that are out of service and have hosts.
func (p *Planner) DomainsOut() cowslipbend.DomainsOut { return p.domains.out }
