package checker

import (
	"fmt"

	"cowslipbend.dev"
)

// Check checks a decoded set as a whole: each object, unique names, that
// every reference leads to an object, and that no job exceeds its team's
// quota.
func Check(set *cowslipbend.Set) error { return check(set, nil, false) }

// check reports faults at their places. A partial set is one of which some
// objects did not decode, so that missing references mean nothing.
func check(set *cowslipbend.Set, at places, partial bool) error {
	c := &checks{places: at, partial: partial, seen: map[string]string{}}
	c.declare(set)
	for i := range set.Pools {
		p := &set.Pools[i]
		c.add("pool", i, p.Check("pool "+string(p.Name)))
	}
	for i := range set.Teams {
		t := &set.Teams[i]
		c.add("team", i, t.Check("team "+string(t.Name)))
	}
	for i := range set.Services {
		c.service(i, &set.Services[i])
	}
	c.limits(set.Limits)
	c.jobs(set)
	return c.l.Err()
}

type checks struct {
	l       cowslipbend.Errors
	places  places
	partial bool
	// seen holds the key of the object by kind and name.
	seen map[string]string
}

func (c *checks) add(kind string, index int, err error) {
	c.l.Add(c.places.locate(keyOf(kind, index), err))
}

// declare notes all names and reports those that are declared twice.
func (c *checks) declare(set *cowslipbend.Set) {
	for i := range set.Pools {
		c.unique("pool", i, string(set.Pools[i].Name))
	}
	for i := range set.Teams {
		c.unique("team", i, string(set.Teams[i].Name))
	}
	for i := range set.Services {
		c.unique("service", i, string(set.Services[i].Name))
	}
	for i := range set.Limits {
		c.unique("limit", i, set.Limits[i].Name)
	}
	for i := range set.Jobs {
		c.unique("job", i, string(set.Jobs[i].ID))
	}
}

func (c *checks) unique(kind string, index int, name string) {
	other, twice := c.seen[kind+" "+name]
	if !twice {
		c.seen[kind+" "+name] = keyOf(kind, index)
		return
	}
	what := "is declared twice"
	if doc, ok := c.places[other]; ok {
		what = "is declared at " + doc.prefix("name") + " too"
	}
	c.add(kind, index, cowslipbend.Invalid(kind+" "+name, what, "remove or rename one"))
}

// refer returns a fault if nothing of the kind has the name.
func (c *checks) refer(path, kind, name string) error {
	if _, ok := c.seen[kind+" "+name]; ok || name == "" || c.partial {
		return nil
	}
	return cowslipbend.Invalid(path+"."+kind, fmt.Sprintf("no %s is named %q", kind, name), "declare it or correct the name")
}

func (c *checks) service(i int, s *cowslipbend.Service) {
	path := "service " + string(s.Name)
	c.add("service", i, s.Check(path))
	c.add("service", i, c.refer(path, "pool", string(s.Pool)))
	c.add("service", i, c.refer(path, "team", string(s.Team)))
	if s.Timeout > 0 && s.Timeout < s.Objective.P99 {
		c.add("service", i, cowslipbend.Invalid(path+".timeout",
			fmt.Sprintf("%s is below the objective's p99 of %s", s.Timeout, s.Objective.P99), "give requests at least that time"))
	}
}

// limits also refuses two limits on the same requests, as only the lower one
// would count.
func (c *checks) limits(limits []cowslipbend.Limit) {
	scopes := map[string]string{}
	for i := range limits {
		m := &limits[i]
		path := "limit " + m.Name
		c.add("limit", i, m.Check(path))
		c.add("limit", i, c.refer(path, "team", string(m.Team)))
		c.add("limit", i, c.refer(path, "service", string(m.Service)))
		scope := string(m.Team) + "\n" + string(m.Service)
		if other, twice := scopes[scope]; twice && scope != "\n" {
			c.add("limit", i, cowslipbend.Invalid(path, "bounds the same requests as limit "+other, "keep the lower one"))
		}
		scopes[scope] = m.Name
	}
}

func (c *checks) jobs(set *cowslipbend.Set) {
	quotas := map[cowslipbend.TeamID]cowslipbend.Resources{}
	for i := range set.Teams {
		quotas[set.Teams[i].Name] = set.Teams[i].Quota
	}
	for i := range set.Jobs {
		j := &set.Jobs[i]
		path := "job " + string(j.ID)
		c.add("job", i, j.Check())
		c.add("job", i, c.refer(path, "pool", string(j.Pool)))
		c.add("job", i, c.refer(path, "team", string(j.Team)))
		if quota := quotas[j.Team]; quota != (cowslipbend.Resources{}) && !j.Size.Fits(quota) {
			c.add("job", i, cowslipbend.Invalid(path+".size", "one task exceeds the quota of team "+string(j.Team), "ask for less, or raise the quota"))
		}
	}
}
