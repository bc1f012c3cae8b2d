package leaser_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/leaser"
)

// The search visits every interleaving of one owner (epoch 1), two witnesses,
// a successor that is the second witness, one agent, and a clock that any of
// them may sleep through. A message that is not delivered is lost; a store
// that does not answer is out. The decisions are those of the package.

// terms are short, so that the search ends; there is no drift in one clock.
var terms = leaser.Terms{Length: 2, Cap: 4}

// horizon is the last moment of the search.
const horizon = 6

// maxStates bounds a search, which fails beyond it.
const maxStates = 3_000_000

// witnesses is the count of witnesses; the last one is the successor.
const witnesses = 2

const none = cowslipbend.Time(-1)

// world is one state of the model. All of it is comparable.
type world struct {
	now cowslipbend.Time

	account leaser.Account
	// read is the start of the owner's read in flight; seen is its answer.
	read cowslipbend.Time
	seen bool
	// round is the start of the owner's round of holds; asked, held and got
	// are the witnesses that have the question in flight, the answer in
	// flight, and have answered.
	round            cowslipbend.Time
	asked, held, got uint8

	vows [witnesses]leaser.Witness

	// beat is when the agent sent the heartbeat in flight, grant the lease in
	// the reply in flight.
	beat  cowslipbend.Time
	grant cowslipbend.Span
	until cowslipbend.Time

	// taken is set once epoch 2 is in the table, committed when its answer
	// returned. asks and tells are releases in flight.
	taken       bool
	committed   cowslipbend.Time
	asks, tells uint8
	released    cowslipbend.Time
}

// plan is one run of the search: the lists of witnesses that the owner thinks
// may be in force, the one that is, and the planted defects.
type plan struct {
	lists  []uint8 // as sets of witnesses
	listed uint8

	// instant delivers the owner's reads and the heartbeats at once. A later
	// delivery leaves the agent with the same or an earlier end of its lease,
	// so nothing is missed; the lists without witnesses are searched with
	// delays, too.
	instant bool

	forgets  bool // a witness forgets its release
	receipt  bool // the agent counts from receipt of the reply
	skips    bool // the successor does not wait
	late     bool // the owner counts a round from its last answer
	ignores  bool // the owner extends leases on an empty list
	partial  bool // the owner asks only the newest list
	uncapped bool // the owner ignores the cap
}

func (p plan) all() uint8 {
	if p.partial {
		return p.lists[len(p.lists)-1]
	}
	var set uint8
	for _, l := range p.lists {
		set |= l
	}
	return set
}

// extends reports whether the owner may extend leases at all.
func (p plan) extends() bool {
	lists := p.lists
	if p.partial {
		lists = lists[len(lists)-1:]
	}
	return p.ignores || leaser.Extendable(lists, func(l uint8) bool { return l == 0 })
}

func begin() world {
	w := world{read: none, round: none, beat: none, committed: none}
	w.account.Confirm(0)
	return w
}

// unsafe reports whether the successor would start what the agent still runs.
func (p plan) unsafe(w world) bool {
	if w.committed == none {
		return false
	}
	lapse := terms.Lapse(w.committed, count(p.listed), w.released)
	if p.skips {
		lapse = w.committed
	}
	return w.now > lapse && w.until > w.now
}

func count(set uint8) int {
	n := 0
	for ; set != 0; set &= set - 1 {
		n++
	}
	return n
}

// next calls yield with every state that one step leads to.
func (p plan) next(w world, yield func(world)) {
	if w.now < horizon {
		n := w
		n.now++
		yield(n)
	}
	p.store(w, yield)
	p.rounds(w, yield)
	p.leases(w, yield)
	p.succeed(w, yield)
}

// store steps the owner's reads of its head.
func (p plan) store(w world, yield func(world)) {
	if p.instant {
		if !w.taken {
			n := w
			n.account.Confirm(w.now)
			yield(n)
		}
		return
	}
	switch {
	case w.read == none && !w.taken:
		n := w
		n.read, n.seen = w.now, false
		yield(n)
	case w.read != none && !w.seen && !w.taken:
		n := w
		n.seen = true
		yield(n)
	case w.read != none && w.seen:
		n := w
		n.account.Confirm(w.read)
		n.read, n.seen = none, false
		yield(n)
	}
	if w.read != none {
		n := w
		n.read, n.seen = none, false
		yield(n)
	}
}

// rounds steps the owner's questions to the witnesses.
func (p plan) rounds(w world, yield func(world)) {
	if p.extends() && w.round != w.now {
		n := w
		n.round, n.asked, n.held, n.got = w.now, p.all(), 0, 0
		if n.got == p.all() {
			n.account.Extend(w.now)
		}
		yield(n)
	}
	for i := range witnesses {
		bit := uint8(1) << i
		if w.asked&bit != 0 {
			n := w
			n.asked &^= bit
			if n.vows[i].Hold(1) {
				n.held |= bit
			}
			yield(n)
		}
		if w.held&bit != 0 {
			n := w
			n.held &^= bit
			n.got |= bit
			if n.got == p.all() {
				p.extend(&n)
			}
			yield(n)
		}
	}
}

func (p plan) extend(w *world) {
	sent := w.round
	if p.late {
		sent = w.now
	}
	if p.uncapped {
		w.account.Confirm(sent)
	}
	w.account.Extend(sent)
}

// leases steps heartbeats, grants and their receipt.
func (p plan) leases(w world, yield func(world)) {
	if p.instant {
		n := w
		n.until = max(n.until, w.now.Add(n.account.Grant(terms, w.now)))
		yield(n)
		return
	}
	if w.beat == none {
		n := w
		n.beat, n.grant = w.now, 0
		yield(n)
		return
	}
	if w.grant == 0 {
		n := w
		if n.grant = n.account.Grant(terms, w.now); n.grant > 0 {
			yield(n)
		}
	} else {
		n := w
		from := w.beat
		if p.receipt {
			from = w.now
		}
		n.until = max(n.until, from.Add(w.grant))
		n.beat, n.grant = none, 0
		yield(n)
	}
	n := w
	n.beat, n.grant = none, 0
	yield(n)
}

// succeed steps the successor, which is the last witness.
func (p plan) succeed(w world, yield func(world)) {
	own := uint8(1) << (witnesses - 1)
	switch {
	case !w.taken:
		n := w
		n.vows[witnesses-1].Release(1)
		n.taken = true
		yield(n)
	case w.committed == none:
		n := w
		n.committed = w.now
		n.asks = p.listed &^ own
		if p.listed&own != 0 {
			n.released = w.now
		}
		yield(n)
		// The same without its own release, as if it were not listed.
		n.released = 0
		yield(n)
	}
	for i := range witnesses {
		bit := uint8(1) << i
		if w.asks&bit != 0 {
			n := w
			n.asks &^= bit
			n.tells |= bit
			n.vows[i].Release(1)
			if p.forgets {
				n.vows[i] = leaser.Witness{}
			}
			yield(n)
		}
		if w.tells&bit != 0 {
			n := w
			n.tells &^= bit
			if n.released == 0 {
				n.released = max(w.now, 1)
			}
			yield(n)
		}
	}
}

// search returns whether an unsafe state can be reached, and how many states
// were visited.
func (p plan) search() (found bool, visited int) {
	first := begin()
	seen := map[world]struct{}{first: {}}
	queue := []world{first}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if p.unsafe(w) {
			return true, len(seen)
		}
		if len(seen) > maxStates {
			panic("leaser: the model is too large to be searched")
		}
		p.next(w, func(n world) {
			if _, known := seen[n]; !known {
				seen[n] = struct{}{}
				queue = append(queue, n)
			}
		})
	}
	return false, len(seen)
}

// Sets of witnesses.
const (
	nobody = uint8(0)
	other  = uint8(1)
	both   = uint8(3)
)

func assertSafe(t *testing.T, p plan) {
	t.Helper()
	found, visited := p.search()
	t.Logf("%d states", visited)
	assert.Assert(t, !found, "an agent runs what the successor may start")
}

func assertUnsafe(t *testing.T, p plan) {
	t.Helper()
	found, _ := p.search()
	assert.Assert(t, found, "the search does not find the defect")
}

func TestLeasesNeverOverlap(t *testing.T) {
	t.Run("no witness", func(t *testing.T) { assertSafe(t, plan{lists: []uint8{nobody}, listed: nobody}) })
	t.Run("one witness", func(t *testing.T) { assertSafe(t, plan{instant: true, lists: []uint8{other}, listed: other}) })
	t.Run("two witnesses", func(t *testing.T) { assertSafe(t, plan{instant: true, lists: []uint8{both}, listed: both}) })
	t.Run("change of the list unsettled, old one in force", func(t *testing.T) {
		assertSafe(t, plan{instant: true, lists: []uint8{other, both}, listed: other})
	})
	t.Run("change of the list unsettled, new one in force", func(t *testing.T) {
		assertSafe(t, plan{instant: true, lists: []uint8{both, other}, listed: other})
	})
	t.Run("first list unsettled", func(t *testing.T) {
		assertSafe(t, plan{instant: true, lists: []uint8{nobody, other}, listed: nobody})
	})
}

func TestSearchFindsDefects(t *testing.T) {
	t.Run("a witness forgets its release", func(t *testing.T) {
		assertUnsafe(t, plan{instant: true, lists: []uint8{other}, listed: other, forgets: true})
	})
	t.Run("the agent counts from receipt", func(t *testing.T) {
		assertUnsafe(t, plan{lists: []uint8{nobody}, listed: nobody, receipt: true})
	})
	t.Run("the successor skips its wait", func(t *testing.T) {
		assertUnsafe(t, plan{lists: []uint8{nobody}, listed: nobody, skips: true})
	})
	t.Run("a round counts from its last answer", func(t *testing.T) {
		assertUnsafe(t, plan{instant: true, lists: []uint8{other}, listed: other, late: true})
	})
	t.Run("leases are extended on an empty list", func(t *testing.T) {
		assertUnsafe(t, plan{instant: true, lists: []uint8{nobody, other}, listed: nobody, ignores: true})
	})
	t.Run("only the new list is asked while its change is unsettled", func(t *testing.T) {
		assertUnsafe(t, plan{instant: true, lists: []uint8{both, other}, listed: both, partial: true})
	})
	t.Run("the cap is ignored", func(t *testing.T) {
		assertUnsafe(t, plan{instant: true, lists: []uint8{other}, listed: other, uncapped: true})
	})
}
