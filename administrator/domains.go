package administrator

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"cowslipbend.dev"
	"cowslipbend.dev/cordoner"
)

// DomainPrefix is that of the keys of the rows that take failure domains out of
// service. MaxDomains is the largest number of such rows.
const (
	DomainPrefix = "domain/"
	MaxDomains   = 1000
)

// domainRow is the value of a row that takes a failure domain out of service.
type domainRow struct {
	// At is when the operator asked for it.
	At cowslipbend.Time `json:"at"`
}

// DomainSource returns which rows take a failure domain out of service.
func DomainSource() cordoner.Source {
	return cordoner.Source{Prefix: DomainPrefix, Check: func(value []byte) error {
		var row domainRow
		if err := json.Unmarshal(value, &row); err != nil {
			return cowslipbend.Failf(cowslipbend.KindBroken, err, "take the domain out again", "row of a failure domain does not decode")
		}
		return nil
	}}
}

// Domain describes a failure domain in a listing.
type Domain struct {
	Domain cowslipbend.Domain `json:"domain"`
	Out    bool               `json:"out"`
	// Age is since when this entry knows that the domain is out of service.
	Age cowslipbend.Span `json:"age,omitempty"`
}

// knownDomains returns the failure domains of all processes.
func (a *Administrator) knownDomains() []cowslipbend.Domain {
	list := []cowslipbend.Domain{a.self.Domain}
	for _, peer := range a.tracker.Peers() {
		list = append(list, peer.Domain)
	}
	for _, agent := range a.tracker.Agents() {
		list = append(list, agent.Domain)
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(d cowslipbend.Domain) bool { return d == "" })
}

// listDomains lists the known failure domains, and the unknown ones that are out.
func (a *Administrator) listDomains(c echo.Context) error {
	requests, now := a.domains.Requests(), a.clock.Now()
	known := a.knownDomains()
	for _, r := range requests {
		if !slices.Contains(known, r.Domain) {
			known = append(known, r.Domain)
		}
	}
	slices.Sort(known)
	list := make([]Domain, 0, len(known))
	for _, domain := range known {
		d := Domain{Domain: domain}
		for _, r := range requests {
			if r.Domain == domain {
				d.Out, d.Age = true, now.Sub(r.Since)
			}
		}
		list = append(list, d)
	}
	return c.JSON(http.StatusOK, list)
}

// takeDomainOut stores that a known failure domain is out of service. All entries
// read it within seconds.
func (a *Administrator) takeDomainOut(c echo.Context) error {
	domain := cowslipbend.Domain(c.Param("domain"))
	if !slices.Contains(a.knownDomains(), domain) {
		return fail(c, cowslipbend.Fail(cowslipbend.KindMissing, "no process is in failure domain "+string(domain), "see cowslip domain status"))
	}
	value, err := json.Marshal(domainRow{At: a.clock.Wall()})
	if err != nil {
		return fail(c, err)
	}
	return a.commitDomain(c, cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: DomainPrefix + string(domain), Value: value}}})
}

// putDomainBack stores that a failure domain is in service. It may be unknown, as
// its processes may have left.
func (a *Administrator) putDomainBack(c echo.Context) error {
	return a.commitDomain(c, cowslipbend.Txn{Dels: []string{DomainPrefix + c.Param("domain")}})
}

func (a *Administrator) commitDomain(c echo.Context, txn cowslipbend.Txn) error {
	if _, err := a.store.Table.Commit(c.Request().Context(), txn); err != nil {
		return fail(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}
