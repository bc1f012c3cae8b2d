package planner

import (
	"slices"
	"sort"

	"cowslipbend.dev"
)

// Reasons why a host takes no new runs at all, beside those of DelayReason.
const (
	// DelayDraining means that the host is about to leave.
	DelayDraining DelayReason = "draining"
	// DelayDomain means that its failure domain is out of service, or that the
	// knowledge of that is too old to place by.
	DelayDomain DelayReason = "domain"
	// DelaySilent means that its last report is too old, or that no lease is valid.
	DelaySilent DelayReason = "silent"
	// DelayFence means that it does not refuse earlier owners yet.
	DelayFence DelayReason = "fence"
	// DelayBanned means that it failed runs or made no progress.
	DelayBanned DelayReason = "banned"
	// DelayBackoff means that it has just refused a run, or could not be reached.
	DelayBackoff DelayReason = "backoff"
	// DelayUnusable means that it takes no runs for another reason.
	DelayUnusable DelayReason = "unusable"
)

// Question asks where a task would be placed now: a task of the first step of a
// flow that is not known, or a known task.
type Question struct {
	Flow *cowslipbend.Flow    `json:"flow,omitempty"`
	Task *cowslipbend.TaskRef `json:"task,omitempty"`
}

// Answer tells where a task would be placed now, or is.
type Answer struct {
	// Owner is the URL of the entry to ask instead, if it is another one.
	Owner string `json:"owner,omitempty"`
	// Task is the task, Placed is set if it is on the Host, Done if it has ended.
	Task   cowslipbend.TaskRef `json:"task"`
	Placed bool                `json:"placed"`
	Done   bool                `json:"done"`
	// Ready is set if all earlier steps are done. Position is the place of a known
	// flow in the order of the last decision, from 1.
	Ready    bool `json:"ready"`
	Position int  `json:"position,omitempty"`
	// Host is where the task is, or would be placed by itself; empty if it waits.
	Host cowslipbend.Incarnation `json:"host,omitempty"`
	// Length is the expected run time, Decided the time since the last decision.
	Length  cowslipbend.Span `json:"length"`
	Decided cowslipbend.Span `json:"decided"`
	Hosts   []HostAnswer     `json:"hosts"`
}

// HostAnswer tells what speaks against a host.
type HostAnswer struct {
	Host cowslipbend.Incarnation `json:"host"`
	Rack cowslipbend.Rack        `json:"rack,omitempty"`
	// Reason is empty if the host could take the task. Rate is the share of its
	// full speed that is expected there, Score the one by which hosts are compared.
	Reason DelayReason `json:"reason,omitempty"`
	Rate   float64     `json:"rate"`
	Score  int64       `json:"score"`
	// Free is what is not reserved, Idle the processors expected to be unused; both
	// are zero on a host that has more runs than it can hold.
	Free cowslipbend.Resources  `json:"free"`
	Idle cowslipbend.Millicores `json:"idle"`
	Runs int                    `json:"runs"`
	// Age is the time since the last report.
	Age cowslipbend.Span `json:"age"`
	// HeldFor is the flow for which the host is reserved, if any, HeldUntil the
	// time from now for which room is expected.
	HeldFor   cowslipbend.JobID `json:"held,omitempty"`
	HeldUntil cowslipbend.Span  `json:"until,omitempty"`
}

// Explain answers a question by the functions that place tasks. It changes nothing.
func (p *Planner) Explain(q *Question, now cowslipbend.Time) (Answer, error) {
	f, ref, err := p.questioned(q)
	if err != nil {
		return Answer{}, err
	}
	s, key := f.step(ref), keyOf(ref)
	t := &s.tasks[ref.Index]
	a := Answer{
		Task: ref, Placed: t.phase == phasePlaced, Done: t.phase == phaseDone, Ready: s.ready, Host: t.host,
		Length: p.expectedLength(f, s), Decided: now.Sub(p.now),
	}
	if p.flows[ref.Job] != nil {
		a.Position = f.position + 1
	}
	best := -1
	for _, h := range p.hosts {
		if h.spec.Service == p.policy(f).Service {
			a.Hosts = append(a.Hosts, p.explainHost(f, s, key, h, now))
		}
	}
	sort.Slice(a.Hosts, func(i, j int) bool { return a.Hosts[i].Host < a.Hosts[j].Host })
	for i := range a.Hosts {
		if a.Hosts[i].Reason == "" && (best < 0 || a.Hosts[i].Score > a.Hosts[best].Score) {
			best = i
		}
	}
	if t.phase == phaseWaiting && s.ready && best >= 0 {
		a.Host = a.Hosts[best].Host
	}
	return a, nil
}

// questioned returns the flow and the task of a question.
func (p *Planner) questioned(q *Question) (*flow, cowslipbend.TaskRef, error) {
	switch {
	case q.Task != nil:
		f := p.flows[q.Task.Job]
		if f == nil || q.Task.Round < 0 || q.Task.Step < 0 || q.Task.Index < 0 || f.task(*q.Task) == nil {
			return nil, cowslipbend.TaskRef{}, cowslipbend.Fail(cowslipbend.KindMissing, "task "+q.Task.String()+" is not known", "give a task of a flow that is kept, as job/round/step/index")
		}
		return f, *q.Task, nil
	case q.Flow == nil:
		return nil, cowslipbend.TaskRef{}, cowslipbend.Invalid("question", "has no flow and no task", "give one of them")
	}
	if err := q.Flow.Check(); err != nil {
		return nil, cowslipbend.TaskRef{}, err
	}
	f := newFlow(q.Flow)
	if len(f.rounds) == 0 {
		f.openRound(0)
	}
	if p.policy(f).Service == "" {
		return nil, cowslipbend.TaskRef{}, cowslipbend.Fail(cowslipbend.KindMissing, "queue "+string(q.Flow.Queue)+" is not known", "name a queue of the rules in force")
	}
	return f, q.Flow.Ref(0, 0, 0), nil
}

func (p *Planner) explainHost(f *flow, s *step, key stepKey, h *host, now cowslipbend.Time) HostAnswer {
	// The headroom is cached for decisions, which must not depend on questions.
	cached := slices.Clone(h.servingImages)
	defer func() { copy(h.servingImages, cached) }()
	a := HostAnswer{
		Host: h.life, Rack: h.spec.Rack, Rate: 1, Idle: max(h.idleCPU(), 0), Runs: len(h.runs), Age: now.Sub(h.lastReportAt),
		Reason: p.unusableReason(h, now),
	}
	free := h.free()
	a.Free = cowslipbend.Resources{CPU: max(free.CPU, 0), Mem: max(free.Mem, 0), Accel: max(free.Accel, 0)}
	if r := h.reservation; r != nil {
		a.HeldFor, a.HeldUntil = r.Key.Job, max(r.At.Sub(now), 0)
	}
	if s.def.Fills {
		a.Rate = p.expectedRate(h, s.def, 0)
	}
	a.Score = p.score(h, s.def, a.Rate)
	if a.Reason == "" {
		a.Reason = p.refusal(f, s, key, h, a.Rate, now)
	}
	return a
}

// refusal returns why a usable host does not take a task of the step now, or an
// empty reason.
func (p *Planner) refusal(f *flow, s *step, key stepKey, h *host, rate float64, now cowslipbend.Time) DelayReason {
	if reason := h.misfit(s.def, key); reason != "" {
		return reason
	}
	allowed, _ := p.advisedHosts(f, key, []*host{h}, now)
	rack := s.rack(p)
	switch {
	case rack != "" && h.spec.Rack != rack:
		return DelayRack
	case len(allowed) == 0:
		return DelayAdvice
	case rate < minFillingRate:
		return rateReason(h, s.def, rate)
	case h.reservation != nil && p.heldBackFlow(h, f, key):
		return DelayReserved
	}
	return ""
}

// unusableReason returns why the host takes no new runs, or an empty reason.
func (p *Planner) unusableReason(h *host, now cowslipbend.Time) DelayReason {
	switch {
	case !p.domains.accept(h.spec.Domain):
		return DelayDomain
	case h.usable(now):
		return ""
	case h.spec.Draining:
		return DelayDraining
	case !h.reported || now.Sub(h.lastReportAt) >= reportTimeout || h.leaseEnd <= now:
		return DelaySilent
	case !h.fenced:
		return DelayFence
	case h.health.banned(now):
		return DelayBanned
	case now < h.backoffUntil:
		return DelayBackoff
	}
	return DelayUnusable
}
