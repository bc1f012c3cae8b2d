package supervisor

import (
	"cowslipbend.dev"
)

// domains is what the agent knows of the failure domains out of service. An agent
// refuses starts there, so that neither a late order nor one of an earlier owner
// has an effect.
type domains struct {
	// epoch is that of the owner from which out came.
	epoch cowslipbend.Epoch
	out   cowslipbend.DomainsOut
	// askedAt is when the newest report was sent that an owner answered.
	askedAt cowslipbend.Time
}

// update applies what an owner has sent with a reply or orders. Those that arrive
// out of order change nothing.
func (d *domains) update(epoch cowslipbend.Epoch, out cowslipbend.DomainsOut) (changed bool) {
	if epoch < d.epoch || (epoch == d.epoch && out.Version < d.out.Version) {
		return false
	}
	changed = epoch != d.epoch || out.Version != d.out.Version
	d.epoch, d.out = epoch, out
	return changed
}

// applyDomains applies the domains out of service of a reply or of orders. The
// caller holds the lock.
func (s *Supervisor) applyDomains(epoch cowslipbend.Epoch, out cowslipbend.DomainsOut) {
	was := s.host != nil && s.domains.out.Has(s.host.Domain)
	if !s.domains.update(epoch, out) || s.host == nil {
		return
	}
	if is := out.Has(s.host.Domain); is != was {
		s.log.Info("service state of the runner's failure domain changed", "domain", s.host.Domain, "out", is, "epoch", epoch, "version", out.Version)
	}
}

// startRefusal returns why nothing may be started on the host, or an empty
// reason. The caller holds the lock.
func (s *Supervisor) startRefusal() string {
	switch maxAge := s.settings.MaxDomainAge; {
	case s.host != nil && s.domains.out.Has(s.host.Domain):
		return "failure domain is out of service"
	case maxAge > 0 && (s.domains.askedAt == 0 || s.clock.Now().Sub(s.domains.askedAt) > maxAge):
		return "domains out of service are not known"
	}
	return ""
}
