package planner

import (
	"sort"

	"cowslipbend.dev"
)

// agentCheckInterval is the time between two checks for agents to forget.
const agentCheckInterval = cowslipbend.Second

// agent is the process beside a runner.
type agent struct {
	url  string
	life cowslipbend.Incarnation
	// process numbers the incarnation among those that have reported in this epoch.
	process int64
	// lastReportNumber is the number of its newest report.
	lastReportNumber int64
	// runnerLife is the incarnation of its runner.
	runnerLife cowslipbend.Incarnation
	// flaps tells whether its runner goes down and up by turns.
	flaps flaps
	// knowsRuns is set once this incarnation of the agent has been sent a
	// description of the runs of this incarnation of the runner.
	knowsRuns bool
	// foundAt is when the first report of this incarnation was applied, and heardAt when
	// the last one was or, before that, when the agent became known.
	foundAt, heardAt cowslipbend.Time
	// doubted is set if another incarnation has reported since the last call that asked
	// which one it is. The next such call is not sent before askAgainAt.
	doubted    bool
	askAgainAt cowslipbend.Time
	// pairsSentAt holds, for each serving image on its host, the version of the
	// estimates with which all pairs of the image were first sent.
	pairsSentAt map[string]int64
}

// AgentRow is a stored agent: its URL, and the incarnation of its runner on
// which runs may have been placed.
type AgentRow struct {
	URL        string                  `json:"u"`
	RunnerLife cowslipbend.Incarnation `json:"h,omitempty"`
}

// Agents returns the known agents in the order of their URLs.
func (p *Planner) Agents() []AgentRow {
	rows := make([]AgentRow, 0, len(p.agents))
	for _, a := range p.agents {
		rows = append(rows, a.row())
	}
	sortAgents(rows)
	return rows
}

func (a *agent) row() AgentRow { return AgentRow{URL: a.url, RunnerLife: a.runnerLife} }

func sortAgents(rows []AgentRow) {
	sort.Slice(rows, func(i, j int) bool { return rows[i].URL < rows[j].URL })
}

// TakeAgents returns the agents that were added or have changed since its last call, and the
// URLs of those that were forgotten, in the order of the URLs.
func (p *Planner) TakeAgents() (changed []AgentRow, forgotten []string) {
	for url := range p.dirtyAgents {
		if a := p.agents[url]; a != nil {
			changed = append(changed, a.row())
		} else {
			forgotten = append(forgotten, url)
		}
	}
	clear(p.dirtyAgents)
	sortAgents(changed)
	sort.Strings(forgotten)
	return changed, forgotten
}

// MarkAgents has the next call of TakeAgents return all known agents.
func (p *Planner) MarkAgents() {
	for url := range p.agents {
		p.dirtyAgents[url] = true
	}
}

// ExpectAgents adds the agents of an earlier owner. If one reports another
// incarnation of its runner, all runs of the expected one have ended.
func (p *Planner) ExpectAgents(rows []AgentRow, now cowslipbend.Time) {
	for _, row := range rows {
		if p.agents[row.URL] != nil {
			continue
		}
		p.agents[row.URL] = &agent{url: row.URL, runnerLife: row.RunnerLife, heardAt: now}
		if row.RunnerLife != "" {
			p.expectHost(row.RunnerLife, now)
		}
	}
}

// addAgent adds the incarnation of an agent that sent the report.
func (p *Planner) addAgent(r *cowslipbend.HostReport, now cowslipbend.Time) *agent {
	a := &agent{url: r.URL, life: r.Agent, process: p.forgottenProcess + 1, foundAt: now, heardAt: now}
	if earlier := p.agents[r.URL]; earlier != nil {
		a.runnerLife, a.process, a.flaps = earlier.runnerLife, earlier.process+1, earlier.flaps
		if h := p.hosts[a.runnerLife]; h != nil {
			h.grant = grant{}
		}
	} else {
		p.dirtyAgents[r.URL] = true
	}
	if p.processesUsedUp || a.process > cowslipbend.MaxProcess {
		a.process, p.processesUsedUp = 0, true
	}
	p.agents[r.URL] = a
	return a
}

// forgetAgents forgets the agents that have been silent for as long as a host without reports
// is kept, and whose host was given up, so that none of its runs is left. One that comes back is
// added as a new one, with a process number that its runner has not seen.
func (p *Planner) forgetAgents(now cowslipbend.Time) {
	if now.Sub(p.agentsCheckedAt) < agentCheckInterval {
		return
	}
	p.agentsCheckedAt = now
	for url, a := range p.agents {
		if p.hasHost(a) || now.Sub(a.heardAt) <= p.opts.MaxPriorLease {
			continue
		}
		delete(p.agents, url)
		p.dirtyAgents[url] = true
		p.forgottenProcess = max(p.forgottenProcess, a.process)
	}
}

// hasHost reports whether the host of the agent is known, and not reported by another agent.
func (p *Planner) hasHost(a *agent) bool {
	h := p.hosts[a.runnerLife]
	return h != nil && (h.url == a.url || h.url == "")
}

// ProcessesUsedUp reports whether a process of an agent got no number, as its token would not be
// below those of the next epoch. The owner then has to begin that.
func (p *Planner) ProcessesUsedUp() bool { return p.processesUsedUp }
