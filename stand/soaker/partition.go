package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"cowslipbend.dev/conductor"
)

// The kinds of faults that hold data, which follow those of startFault.
const (
	firstHoldKind = 14 + iota
	holdPeersToo  // as the first one
	holdStore
	holdRunner
	faultKinds
)

// partition is a time in which data is held.
type partition struct {
	ways direction
	span time.Duration
	delivery
}

// The lengths of partitions. Leases of 6 s end in most of them.
const (
	minPartition      = 4 * time.Second
	maxExtraPartition = 6 * time.Second
)

func randomPartition(rnd *rand.Rand) partition {
	return partition{
		ways:     []direction{bothWays, bothWays, towardsServer, towardsClient}[rnd.IntN(4)],
		span:     minPartition + time.Duration(rnd.Int64N(int64(maxExtraPartition))),
		delivery: delivery(rnd.IntN(int(deliveries))),
	}
}

// String describes the partition of a process.
func (p partition) String() string {
	way := map[direction]string{bothWays: "both ways", towardsServer: "towards it", towardsClient: "from it"}[p.ways]
	after := map[delivery]string{deliverAtOnce: "", deliverRetransmitted: ", then as retransmitted", deliverSpread: ", then spread"}[p.delivery]
	return fmt.Sprintf("%s for %s%s", way, p.span.Round(time.Millisecond), after)
}

// reversed returns the direction of the other end.
func (d direction) reversed() direction { return d&towardsServer<<1 | d&towardsClient>>1 }

// isolate holds what passes between a process and the others. Data towards the process
// passes its own proxy as requests, and those of the others as answers.
func (f *fleet) isolate(m *member, p partition) (heal func()) {
	releases := []func(){m.inbound.hold("", p.ways, p.delivery), m.host.disturb(maxSpread)}
	for _, other := range append(append([]*member(nil), f.entries...), f.agents...) {
		if other != m {
			releases = append(releases, other.inbound.hold(m.proc.Advertised, p.ways.reversed(), p.delivery))
		}
	}
	return all(releases)
}

// all returns a function that calls the functions.
func all(calls []func()) func() {
	return func() {
		for _, call := range calls {
			call()
		}
	}
}

// startHold starts a fault that holds data of the locked member, and returns its name.
func (f *fleet) startHold(ctx context.Context, m *member, kind int, p partition) string {
	begin, name := func() func() { return f.isolate(m, p) }, "isolated"
	switch {
	case kind == holdStore:
		begin, name = func() func() { return m.storeProxy.hold("", p.ways, p.delivery) }, "isolated from the store"
	case kind == holdRunner && m.host != nil:
		begin, name = func() func() { return m.host.runnerProxy.hold("", p.ways, p.delivery) }, "isolated from its runner"
	}
	f.runFault(m, func() {
		heal := begin()
		sleep(ctx, p.span)
		heal()
	})
	return fmt.Sprintf("%s %s", name, p)
}

// Partitions of some agents at a time.
const (
	partitionedShare = 3 // one of so many agents
	minPartitionGap  = 3 * time.Second
	maxExtraGap      = 4 * time.Second
	// maxLead is how long before a partition its companion may come. A successor takes
	// over within that time.
	maxLead = 2500 * time.Millisecond
	// maxOutage is the longest time for which all entries are down.
	maxOutage = 9500 * time.Millisecond
)

// leader returns the entry that owns the flows, or any one if the store names none.
func (f *fleet) leader(ctx context.Context) *member {
	var head conductor.Head
	if row, err := f.store.Table().Get(ctx, conductor.OwnerKey); err == nil && json.Unmarshal(row.Value, &head) == nil {
		for _, m := range f.entries {
			if head.URL == "http://"+m.proc.Advertised {
				return m
			}
		}
	}
	return f.entries[0]
}

// companion is a fault that comes with a partition.
type companion struct {
	name string
	// victims are the processes that it acts on.
	victims []*member
	// begin and end act on one of them, span apart.
	begin, end func(*member)
	span       time.Duration
}

func kill(m *member) { m.proc.SignalAndWait(syscall.SIGKILL) }

// randomCompanion returns a fault beside a partition of the agents.
func (f *fleet) randomCompanion(ctx context.Context, rnd *rand.Rand, p partition, isolated []*member) companion {
	pause := func(m *member) { m.proc.SetPaused(true) }
	resume := func(m *member) { m.proc.SetPaused(false) }
	agent, leader := isolated[rnd.IntN(len(isolated))], f.leader(ctx)
	short := time.Duration(200+rnd.IntN(800)) * time.Millisecond
	switch rnd.IntN(8) {
	case 0, 1:
		return companion{"killed", []*member{leader}, kill, f.startAgain, short}
	case 2:
		return companion{"paused", []*member{leader}, pause, resume, p.span}
	case 3:
		return companion{"killed", []*member{agent}, kill, f.startAgain, short}
	case 4:
		return companion{"paused", []*member{agent}, pause, resume, p.span}
	case 5:
		return companion{"killed", []*member{agent, leader}, kill, f.startAgain, short}
	case 6:
		return companion{"killed", f.entries, kill, f.startAgain, time.Duration(rnd.Int64N(int64(maxOutage)))}
	}
	return companion{}
}

// start starts the companion.
func (f *fleet) startCompanion(ctx context.Context, c companion) {
	for _, m := range c.victims {
		m.mu.Lock()
		f.opts.Log.Info("fault injected", "seed", f.opts.Seed, "what", fmt.Sprintf("%s %s for %s", m.proc.Name, c.name, c.span))
		f.runFault(m, func() {
			c.begin(m)
			sleep(ctx, c.span)
			c.end(m)
		})
	}
}

// playPartitions isolates some of the agents at a time, again and again until the time,
// with other faults beside that.
func (f *fleet) playPartitions(ctx context.Context, rnd *rand.Rand, end time.Time) (injected int) {
	for time.Now().Before(end) && ctx.Err() == nil {
		switch rnd.IntN(6) {
		case 0:
			injected += f.holdReportsOverTakeover(ctx, rnd)
			continue
		case 1:
			injected += f.holdReportsOverRestart(ctx, rnd)
			continue
		}
		p := randomPartition(rnd)
		var isolated []*member
		for _, n := range rnd.Perm(len(f.agents))[:max(1, len(f.agents)/partitionedShare)] {
			isolated = append(isolated, f.agents[n])
		}
		c := f.randomCompanion(ctx, rnd, p, isolated)
		// It comes some time before the partition or during it.
		offset := time.Duration(rnd.Int64N(int64(maxLead)))
		before := rnd.IntN(3) > 0
		if !before {
			offset = time.Duration(rnd.Int64N(int64(p.span)))
		}
		if before {
			f.startCompanion(ctx, c)
			sleep(ctx, offset)
		}
		healsAt := time.Now().Add(p.span)
		var heals []func()
		for _, m := range isolated {
			heals = append(heals, f.isolate(m, p))
			f.opts.Log.Info("fault injected", "seed", f.opts.Seed, "what", fmt.Sprintf("%s isolated %s", m.proc.Name, p))
		}
		if !before {
			sleep(ctx, offset)
			f.startCompanion(ctx, c)
		}
		sleep(ctx, time.Until(healsAt))
		all(heals)()
		injected += len(isolated) + len(c.victims)
		sleepGap(ctx, rnd)
	}
	return injected
}

// sleepGap returns after the time between two partitions.
func sleepGap(ctx context.Context, rnd *rand.Rand) {
	sleep(ctx, minPartitionGap+time.Duration(rnd.Int64N(int64(maxExtraGap))))
}

// holdReports holds what the agents send to the entries.
func holdReports(agents, entries []*member, d delivery) (release func()) {
	var releases []func()
	for _, agent := range agents {
		releases = append(releases, agent.host.disturb(maxSpread))
		for _, entry := range entries {
			releases = append(releases, entry.inbound.hold(agent.proc.Advertised, towardsServer, d))
		}
	}
	return all(releases)
}

// reportGap is how long the agents of a held report wait before they send another one
// elsewhere, and the others take to hear of a change.
const reportGap = 2 * time.Second

// maxTakeover bounds the wait for a successor.
const maxTakeover = 5 * time.Second

// holdReportsOverTakeover delivers reports to a successor that were held since before the
// runners were started again, and of which the last owner had later ones.
func (f *fleet) holdReportsOverTakeover(ctx context.Context, rnd *rand.Rand) (injected int) {
	f.replaceOwner(ctx, rnd, "reports held over a takeover", func(owner *member) (release func()) {
		var others []*member
		for _, m := range f.entries {
			if m != owner {
				others = append(others, m)
			}
		}
		release = holdReports(f.agents, others, deliverAtOnce)
		divert := holdReports(f.agents, []*member{owner}, deliverAtOnce)
		sleep(ctx, reportGap)
		divert()
		for _, m := range f.agents {
			m.host.replaceRunner()
		}
		sleep(ctx, reportGap)
		return release
	})
	return len(f.agents) + 1
}

// holdReportsOverRestart delivers the first reports and answers that a successor gets of some
// agents in any order with those that they sent once they had started again.
func (f *fleet) holdReportsOverRestart(ctx context.Context, rnd *rand.Rand) (injected int) {
	f.replaceOwner(ctx, rnd, "reports held over a restart of the agents", func(*member) func() {
		var agents []*member
		for _, n := range rnd.Perm(len(f.agents))[:(len(f.agents)+1)/2] {
			agents = append(agents, f.agents[n])
		}
		injected = len(agents) + 1
		releases := []func(){holdReports(agents, f.entries, deliverSpread)}
		for _, m := range agents {
			releases = append(releases, m.inbound.hold("", towardsClient, deliverSpread))
		}
		return func() {
			sleep(ctx, time.Duration(rnd.Int64N(int64(reportGap))))
			for _, m := range agents {
				m.mu.Lock()
				f.restart(ctx, m, syscall.SIGKILL, 0)
				m.mu.Unlock()
			}
			sleep(ctx, time.Duration(rnd.Int64N(int64(reportGap))))
			all(releases)()
		}
	})
	return injected
}

// replaceOwner kills the owner after prepare, and starts it again some time after another
// entry has taken over and what prepare returned was called.
func (f *fleet) replaceOwner(ctx context.Context, rnd *rand.Rand, what string, prepare func(owner *member) (finish func())) {
	owner := f.leader(ctx)
	owner.mu.Lock()
	defer owner.mu.Unlock()
	f.opts.Log.Info("fault injected", "seed", f.opts.Seed, "what", what, "owner", owner.proc.Name)
	finish := prepare(owner)
	owner.proc.SignalAndWait(syscall.SIGKILL)
	for killedAt := time.Now(); f.leader(ctx) == owner && time.Since(killedAt) < maxTakeover && ctx.Err() == nil; {
		sleep(ctx, 5*time.Millisecond)
	}
	finish()
	sleepGap(ctx, rnd)
	f.startAgain(owner)
}
