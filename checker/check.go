package checker

import (
	"fmt"

	"cowslipbend.dev"
)

// Check validates a decoded set as a whole: each object by itself, that names
// are unique, that every reference resolves, that no two limits bound the same
// requests, and that no task of a job exceeds its team's quota.
func Check(set *cowslipbend.Set) error { return checkSet(set, nil, false) }

// checkSet validates a set and reports faults at their positions in the
// documents. A set is incomplete if some objects could not be decoded;
// unresolved references are not reported then.
func checkSet(set *cowslipbend.Set, docs documents, incomplete bool) error {
	c := &setChecker{documents: docs, incomplete: incomplete, declared: map[string]string{}}
	c.collectNames(set)
	for i := range set.Pools {
		p := &set.Pools[i]
		c.addFault("pool", i, p.Check("pool "+string(p.Name)))
	}
	for i := range set.Teams {
		t := &set.Teams[i]
		c.addFault("team", i, t.Check("team "+string(t.Name)))
	}
	for i := range set.Services {
		c.checkService(i, &set.Services[i])
	}
	c.checkLimits(set.Limits)
	c.checkJobs(set)
	return c.faults.Err()
}

// setChecker collects the faults of a set.
type setChecker struct {
	faults     cowslipbend.Errors
	documents  documents
	incomplete bool
	// declared holds the key of each object by "kind name".
	declared map[string]string
}

func (c *setChecker) addFault(kind string, index int, err error) {
	c.faults.Add(c.documents.addPosition(objectKey(kind, index), err))
}

// collectNames records the names of all objects and reports duplicates.
func (c *setChecker) collectNames(set *cowslipbend.Set) {
	for i := range set.Pools {
		c.addName("pool", i, string(set.Pools[i].Name))
	}
	for i := range set.Teams {
		c.addName("team", i, string(set.Teams[i].Name))
	}
	for i := range set.Services {
		c.addName("service", i, string(set.Services[i].Name))
	}
	for i := range set.Limits {
		c.addName("limit", i, set.Limits[i].Name)
	}
	for i := range set.Jobs {
		c.addName("job", i, string(set.Jobs[i].ID))
	}
}

func (c *setChecker) addName(kind string, index int, name string) {
	other, duplicate := c.declared[kind+" "+name]
	if !duplicate {
		c.declared[kind+" "+name] = objectKey(kind, index)
		return
	}
	problem := "is declared twice"
	if doc, ok := c.documents[other]; ok {
		problem = "is declared at " + doc.position("name") + " too"
	}
	c.addFault(kind, index, cowslipbend.Invalid(kind+" "+name, problem, "remove or rename one"))
}

// checkReference returns a fault if no object of the kind has the name.
func (c *setChecker) checkReference(path, kind, name string) error {
	if _, ok := c.declared[kind+" "+name]; ok || name == "" || c.incomplete {
		return nil
	}
	return cowslipbend.Invalid(path+"."+kind, fmt.Sprintf("no %s is named %q", kind, name), "declare it or correct the name")
}

func (c *setChecker) checkService(i int, service *cowslipbend.Service) {
	path := "service " + string(service.Name)
	c.addFault("service", i, service.Check(path))
	c.addFault("service", i, c.checkReference(path, "pool", string(service.Pool)))
	c.addFault("service", i, c.checkReference(path, "team", string(service.Team)))
	if service.Timeout > 0 && service.Timeout < service.Objective.P99 {
		c.addFault("service", i, cowslipbend.Invalid(path+".timeout",
			fmt.Sprintf("%s is below the objective's p99 of %s", service.Timeout, service.Objective.P99), "give requests at least that time"))
	}
}

// checkLimits also rejects two limits on the same requests, as only the lower
// one would have an effect.
func (c *setChecker) checkLimits(limits []cowslipbend.Limit) {
	scopes := map[string]string{}
	for i := range limits {
		limit := &limits[i]
		path := "limit " + limit.Name
		c.addFault("limit", i, limit.Check(path))
		c.addFault("limit", i, c.checkReference(path, "team", string(limit.Team)))
		c.addFault("limit", i, c.checkReference(path, "service", string(limit.Service)))
		scope := string(limit.Team) + "\n" + string(limit.Service)
		if other, duplicate := scopes[scope]; duplicate && scope != "\n" {
			c.addFault("limit", i, cowslipbend.Invalid(path, "bounds the same requests as limit "+other, "keep the lower one"))
		}
		scopes[scope] = limit.Name
	}
}

func (c *setChecker) checkJobs(set *cowslipbend.Set) {
	quotas := map[cowslipbend.TeamID]cowslipbend.Resources{}
	for i := range set.Teams {
		quotas[set.Teams[i].Name] = set.Teams[i].Quota
	}
	for i := range set.Jobs {
		job := &set.Jobs[i]
		path := "job " + string(job.ID)
		c.addFault("job", i, job.Check())
		c.addFault("job", i, c.checkReference(path, "pool", string(job.Pool)))
		c.addFault("job", i, c.checkReference(path, "team", string(job.Team)))
		if quota := quotas[job.Team]; quota != (cowslipbend.Resources{}) && !job.Size.Fits(quota) {
			c.addFault("job", i, cowslipbend.Invalid(path+".size", "one task exceeds the quota of team "+string(job.Team), "ask for less, or raise the quota"))
		}
	}
}
