package planner

import (
	"cowslipbend.dev"
)

const (
	// flapMemory is the time within which a second crash of the runner of an agent shows that
	// it goes down and up by turns.
	flapMemory = 10 * cowslipbend.Second
	// flapBan is how long a runner that does so gets no new runs after each start. Most crash
	// again sooner.
	flapBan = 2 * cowslipbend.Second
)

// flaps follows the crashes of the runners of one agent, whatever their ids.
type flaps struct {
	// crashedAt is when the last one was reported, and beforeAt the one before; zero if none
	// was.
	crashedAt, beforeAt cowslipbend.Time
}

func (f *flaps) recordCrash(now cowslipbend.Time) { f.crashedAt, f.beforeAt = now, f.crashedAt }

// isFlapping reports whether the runners have lately crashed twice in a row.
func (f *flaps) isFlapping(now cowslipbend.Time) bool {
	return f.beforeAt > 0 && now.Sub(f.beforeAt) < flapMemory
}

// banFlapping bans the host of a runner that has started again and is likely to crash soon.
func (p *Planner) banFlapping(h *host, now cowslipbend.Time) {
	h.health.bannedUntil = max(h.health.bannedUntil, now.Add(flapBan))
	p.bans.add(BanEvent{Host: h.life, For: flapBan, Flapping: true})
}
