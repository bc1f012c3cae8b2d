package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["agents"] = playAgents }

// Machines of playAgents. The fleet has agentFleet beside runners, of which agentBatch at a
// time are replaced, until newAgents have come, or none of those that are there has got
// a lease.
const (
	agentFleet = 12
	agentBatch = 4
	newAgents  = 1120
	// maxJoin is how long the case waits for the leases of new runners, and maxReplacing for
	// all of them.
	maxJoin      = 3 * time.Second
	maxReplacing = 80 * time.Second
)

// member is a machine beside a runner.
type member struct {
	process *process
	runner  *runner
}

// playAgents replaces the machines beside the runners for good, some at a time, each by one
// at another address. Then the system is calm, and jobs are handed in.
func playAgents(b *bed, trouble bool) (broken []string, err error) {
	if err := b.startFleet(3, 0); err != nil {
		return nil, err
	}
	var fleet []member
	hasLease := func(m member) bool { return m.runner.isGranted() }
	began := time.Now()
	for n := 0; n < newAgents && (trouble || n < agentFleet) && time.Since(began) < maxReplacing; n += agentBatch {
		joined, err := b.addAgents(n)
		if err != nil {
			return nil, err
		}
		for fleet = append(fleet, joined...); len(fleet) > agentFleet; fleet = fleet[1:] {
			fleet[0].process.kill()
			fleet[0].runner.leave()
		}
		if !slices.ContainsFunc(fleet, hasLease) {
			break
		}
	}
	b.record.say("calm from here on")
	time.Sleep(5 * time.Second)
	accepted, idle := b.smallJobs(20)
	if len(idle) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for 14 s, while %d runners are idle", len(idle), len(accepted), len(fleet)))
	}
	b.record.say("store: refused %d transactions, largest rows %v", b.store.refused, b.store.largest)
	return broken, nil
}

// addAgents adds machines beside runners and waits until each runner has a lease, or for
// maxJoin.
func (b *bed) addAgents(first int) (joined []member, err error) {
	for i := range agentBatch {
		n := first + i
		p, r, err := b.startAgent(fmt.Sprintf("side-z-a-%d", n+1), b.ip(20, n), "z-a", "r1-9", true)
		if err != nil {
			return nil, err
		}
		joined = append(joined, member{p, r})
	}
	err = b.await(maxJoin, func() bool {
		return !slices.ContainsFunc(joined, func(m member) bool { return !m.runner.isGranted() })
	}, "lease of all new runners")
	if err != nil {
		b.record.say("%v", err)
	}
	b.record.add("%d machines have come; largest rows %v", first+agentBatch, b.store.largest)
	return joined, nil
}
