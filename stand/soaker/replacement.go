package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"cowslipbend.dev"
)

// Machines that are replaced for good.
const (
	// replacedRow is the largest row of the store, so that one that holds something of each
	// machine that has ever been is refused after some 25 of them.
	replacedRow cowslipbend.Bytes = 1536
	// replacedShare is the share of the machines that are replaced at a time, one of so many.
	replacedShare  = 3
	minReplaceGap  = 200 * time.Millisecond
	maxReplaceMore = 600 * time.Millisecond
	// maxAway is the longest time for which a machine is cut off. Leases end in it.
	minAway, maxAway = 8 * time.Second, 22 * time.Second
	// stopTime is how long an agent gets to leave.
	stopTime = 200 * time.Millisecond
)

// playReplacements replaces machines beside runners for good, some at a time, until the time. Some
// of those that fall silent are only cut off: they run on, and come back. Owners are killed
// meanwhile, and agents of machines that are cut off.
func (f *fleet) playReplacements(ctx context.Context, rnd *rand.Rand, end time.Time) (injected int) {
	var away sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		count := 1 + rnd.IntN(max(1, len(f.agents)/replacedShare))
		gone := f.removeRandom(rnd, count)
		for range gone {
			if err := f.startAgent(ctx, f.machines); err != nil {
				f.opts.Log.Error("machine failed to start; it stays away for the rest of the run", "error", err)
			}
		}
		what, remove := "killed", func(m *member) { m.proc.SignalAndWait(syscall.SIGKILL) }
		switch rnd.IntN(6) {
		case 0:
			what, remove = "told to leave", func(m *member) {
				m.proc.Terminate()
				sleep(ctx, stopTime)
			}
		case 1:
			for _, m := range gone {
				f.isolate(m, partition{ways: bothWays})
			}
			what, remove = "cut off before that", func(*member) { sleep(ctx, f.maxLease().Duration()+time.Second) }
		case 2:
			f.sendAway(ctx, rnd, &away)
		case 3:
			f.startCompanion(ctx, companion{"killed", []*member{f.leader(ctx)}, kill, f.startAgain, time.Duration(rnd.Int64N(int64(time.Second)))})
		}
		f.opts.Log.Info("fault injected", "seed", f.opts.Seed, "what", fmt.Sprintf("machines replaced for good, %s", what), "gone", names(gone))
		for _, m := range gone {
			f.group.Go(func() error {
				remove(m)
				return f.discard(m)
			})
		}
		injected += len(gone)
		sleep(ctx, minReplaceGap+time.Duration(rnd.Int64N(int64(maxReplaceMore))))
	}
	away.Wait()
	return injected
}

// removeRandom takes machines out of the fleet, whose processes and runners go on.
func (f *fleet) removeRandom(rnd *rand.Rand, count int) (removed []*member) {
	for range count {
		i := rnd.IntN(len(f.agents))
		m := f.agents[i]
		if !m.mu.TryLock() { // It is cut off.
			continue
		}
		removed = append(removed, m)
		f.agents = append(f.agents[:i:i], f.agents[i+1:]...)
	}
	return removed
}

// sendAway cuts a machine off for a time in which its leases end. In half of the cases its agent
// starts again meanwhile.
func (f *fleet) sendAway(ctx context.Context, rnd *rand.Rand, away *sync.WaitGroup) {
	m := f.agents[rnd.IntN(len(f.agents))]
	p := partition{ways: bothWays, span: minAway + time.Duration(rnd.Int64N(int64(maxAway-minAway))), delivery: delivery(rnd.IntN(int(deliveries)))}
	restarts := rnd.IntN(2) == 0
	if !m.mu.TryLock() {
		return
	}
	heal := f.isolate(m, p)
	f.opts.Log.Info("fault injected", "seed", f.opts.Seed, "what", fmt.Sprintf("%s isolated %s, its agent starts again: %t", m.proc.Name, p, restarts))
	away.Add(1)
	f.runFault(m, func() {
		defer away.Done()
		sleep(ctx, p.span/2)
		if restarts {
			f.restart(ctx, m, syscall.SIGKILL, p.span/4)
		}
		sleep(ctx, p.span/4)
		heal()
	})
}

// discard ends what is left of a machine.
func (f *fleet) discard(m *member) error {
	m.proc.SignalAndWait(syscall.SIGKILL)
	m.host.leave()
	m.storeProxy.close()
	m.inbound.close()
	m.host.runnerProxy.close()
	return nil
}

func names(members []*member) (list []string) {
	for _, m := range members {
		list = append(list, m.proc.Name)
	}
	return list
}

// strayRows returns the rows of agents that are gone, and the agents without a row.
func (f *fleet) strayRows(ctx context.Context) (stray []string) {
	rows, err := f.store.Table().Scan(ctx, agentRows, "", f.machines+1)
	if err != nil {
		return []string{err.Error()}
	}
	urls := map[string]bool{}
	for _, row := range rows {
		urls[strings.TrimPrefix(row.Key, agentRows)] = true
	}
	for _, m := range f.agents {
		url := "http://" + m.proc.Advertised
		if !urls[url] {
			stray = append(stray, m.proc.Name+" has no row")
		}
		delete(urls, url)
	}
	for url := range urls {
		stray = append(stray, url+" is gone and has a row")
	}
	return stray
}

// agentRows begins the keys of the rows of agents.
const agentRows = "run/~agent/"
