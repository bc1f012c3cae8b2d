package cowslipbend

import "slices"

// DomainsOut names the failure domains that are out of service: nothing may be
// started there.
type DomainsOut struct {
	// Version grows with each change within an epoch. It is zero as long as none
	// was out of service.
	Version int64 `json:"version,omitempty"`
	// Domains is sorted.
	Domains []Domain `json:"domains,omitempty"`
}

// Has reports whether the domain is out of service.
func (d DomainsOut) Has(domain Domain) bool { return slices.Contains(d.Domains, domain) }
