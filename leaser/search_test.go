package leaser_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/leaser"
)

// The search visits every interleaving of one owner (epoch 1), two witnesses,
// a successor that is the second witness, and one agent. The clock may advance
// between any two steps, so that each process may be delayed. A message that is
// never delivered models a lost message; a read that is never answered models a
// store that is unavailable. The lease decisions are made by the code of the
// package.

// terms are short, so that the search is finite in practice. Drift is zero, as
// the model has a single clock.
var terms = leaser.Terms{Length: 2, Cap: 4}

// horizon is the time at which the model's clock stops.
const horizon = 6

// maxStates bounds the states that a search visits; the search panics beyond
// it.
const maxStates = 3_000_000

// witnessCount is the count of witnesses; the last one is the successor.
const witnessCount = 2

const noTime = cowslipbend.Time(-1)

// world is one state of the model. It is comparable, so that it can be a map
// key.
type world struct {
	now cowslipbend.Time

	owner leaser.OwnerState
	// readStartedAt is the start of the owner's read in flight; readAnswered is
	// set once the store has answered it.
	readStartedAt cowslipbend.Time
	readAnswered  bool
	// roundStartedAt is the start of the owner's round of hold requests.
	// holdRequests and holdReplies are the witnesses with a request or a reply
	// in flight, holders those whose reply has arrived.
	roundStartedAt                     cowslipbend.Time
	holdRequests, holdReplies, holders uint8

	witnesses [witnessCount]leaser.Witness

	// heartbeatSentAt is when the agent sent the heartbeat in flight, replyLease
	// the lease in the reply in flight, and leaseUntil the end of the agent's
	// lease.
	heartbeatSentAt cowslipbend.Time
	replyLease      cowslipbend.Span
	leaseUntil      cowslipbend.Time

	// epochTaken is set once the store holds epoch 2; committedAt is when the
	// successor learnt of it. releaseRequests and releaseReplies are the
	// witnesses with a release request or its reply in flight; releasedAt is
	// when the first reply arrived, or zero.
	epochTaken                      bool
	committedAt                     cowslipbend.Time
	releaseRequests, releaseReplies uint8
	releasedAt                      cowslipbend.Time
}

// params are the parameters of one search: the lists of witnesses that the
// owner believes may be in force, the list that is in force, and the defects
// that are injected.
type params struct {
	possibleLists []uint8 // as sets of witnesses
	currentList   uint8

	// instantDelivery delivers the owner's reads and the heartbeats without
	// delay, which makes the search smaller. It hides no violation: with a delay
	// the agent's lease ends at the same time or earlier. The lists without
	// witnesses are searched with delays, too.
	instantDelivery bool

	witnessForgets      bool // a witness forgets its release
	countsFromReceipt   bool // the agent counts its lease from the receipt of the reply
	skipsWait           bool // the successor does not wait for old leases to lapse
	countsFromLastReply bool // the owner counts a round from its last reply
	extendsOnEmptyList  bool // the owner extends leases though a list is empty
	asksNewestOnly      bool // the owner asks only the witnesses of the newest list
	ignoresCap          bool // the owner ignores Terms.Cap
}

// targets returns the witnesses that the owner asks to hold.
func (p params) targets() uint8 {
	if p.asksNewestOnly {
		return p.possibleLists[len(p.possibleLists)-1]
	}
	var set uint8
	for _, l := range p.possibleLists {
		set |= l
	}
	return set
}

// mayExtend reports whether the owner may extend leases under its lists.
func (p params) mayExtend() bool {
	lists := p.possibleLists
	if p.asksNewestOnly {
		lists = lists[len(lists)-1:]
	}
	return p.extendsOnEmptyList || leaser.Extendable(lists, func(l uint8) bool { return l == 0 })
}

func initialWorld() world {
	w := world{readStartedAt: noTime, roundStartedAt: noTime, heartbeatSentAt: noTime, committedAt: noTime}
	w.owner.Confirm(0)
	return w
}

// unsafe reports whether the successor would start a task that the agent still
// runs.
func (p params) unsafe(w world) bool {
	if w.committedAt == noTime {
		return false
	}
	lapsedAt := terms.PriorLeasesEnd(w.committedAt, setSize(p.currentList), w.releasedAt)
	if p.skipsWait {
		lapsedAt = w.committedAt
	}
	return w.now > lapsedAt && w.leaseUntil > w.now
}

func setSize(set uint8) int {
	n := 0
	for ; set != 0; set &= set - 1 {
		n++
	}
	return n
}

// next calls yield with every state that is one step away.
func (p params) next(w world, yield func(world)) {
	if w.now < horizon {
		n := w
		n.now++
		yield(n)
	}
	p.stepReads(w, yield)
	p.stepRounds(w, yield)
	p.stepLeases(w, yield)
	p.stepSuccessor(w, yield)
}

// stepReads yields the steps of the owner's reads of its head row.
func (p params) stepReads(w world, yield func(world)) {
	if p.instantDelivery {
		if !w.epochTaken {
			n := w
			n.owner.Confirm(w.now)
			yield(n)
		}
		return
	}
	switch {
	case w.readStartedAt == noTime && !w.epochTaken:
		n := w
		n.readStartedAt, n.readAnswered = w.now, false
		yield(n)
	case w.readStartedAt != noTime && !w.readAnswered && !w.epochTaken:
		n := w
		n.readAnswered = true
		yield(n)
	case w.readStartedAt != noTime && w.readAnswered:
		n := w
		n.owner.Confirm(w.readStartedAt)
		n.readStartedAt, n.readAnswered = noTime, false
		yield(n)
	}
	if w.readStartedAt != noTime {
		n := w
		n.readStartedAt, n.readAnswered = noTime, false
		yield(n)
	}
}

// stepRounds yields the steps of the owner's rounds of hold requests.
func (p params) stepRounds(w world, yield func(world)) {
	if p.mayExtend() && w.roundStartedAt != w.now {
		n := w
		n.roundStartedAt, n.holdRequests, n.holdReplies, n.holders = w.now, p.targets(), 0, 0
		if n.holders == p.targets() {
			n.owner.Extend(w.now)
		}
		yield(n)
	}
	for i := range witnessCount {
		bit := uint8(1) << i
		if w.holdRequests&bit != 0 {
			n := w
			n.holdRequests &^= bit
			if n.witnesses[i].Hold(1) {
				n.holdReplies |= bit
			}
			yield(n)
		}
		if w.holdReplies&bit != 0 {
			n := w
			n.holdReplies &^= bit
			n.holders |= bit
			if n.holders == p.targets() {
				p.completeRound(&n)
			}
			yield(n)
		}
	}
}

func (p params) completeRound(w *world) {
	startedAt := w.roundStartedAt
	if p.countsFromLastReply {
		startedAt = w.now
	}
	if p.ignoresCap {
		w.owner.Confirm(startedAt)
	}
	w.owner.Extend(startedAt)
}

// stepLeases yields the steps of heartbeats and of the replies with leases.
func (p params) stepLeases(w world, yield func(world)) {
	if p.instantDelivery {
		n := w
		n.leaseUntil = max(n.leaseUntil, w.now.Add(n.owner.Grant(terms, w.now)))
		yield(n)
		return
	}
	if w.heartbeatSentAt == noTime {
		n := w
		n.heartbeatSentAt, n.replyLease = w.now, 0
		yield(n)
		return
	}
	if w.replyLease == 0 {
		n := w
		if n.replyLease = n.owner.Grant(terms, w.now); n.replyLease > 0 {
			yield(n)
		}
	} else {
		n := w
		countedFrom := w.heartbeatSentAt
		if p.countsFromReceipt {
			countedFrom = w.now
		}
		n.leaseUntil = max(n.leaseUntil, countedFrom.Add(w.replyLease))
		n.heartbeatSentAt, n.replyLease = noTime, 0
		yield(n)
	}
	n := w
	n.heartbeatSentAt, n.replyLease = noTime, 0
	yield(n)
}

// stepSuccessor yields the steps of the successor, which is the last witness.
func (p params) stepSuccessor(w world, yield func(world)) {
	own := uint8(1) << (witnessCount - 1)
	switch {
	case !w.epochTaken:
		n := w
		n.witnesses[witnessCount-1].Release(1)
		n.epochTaken = true
		yield(n)
	case w.committedAt == noTime:
		n := w
		n.committedAt = w.now
		n.releaseRequests = p.currentList &^ own
		if p.currentList&own != 0 {
			n.releasedAt = w.now
		}
		yield(n)
		// The same step without counting the successor's own release, as if it
		// were not in the list.
		n.releasedAt = 0
		yield(n)
	}
	for i := range witnessCount {
		bit := uint8(1) << i
		if w.releaseRequests&bit != 0 {
			n := w
			n.releaseRequests &^= bit
			n.releaseReplies |= bit
			n.witnesses[i].Release(1)
			if p.witnessForgets {
				n.witnesses[i] = leaser.Witness{}
			}
			yield(n)
		}
		if w.releaseReplies&bit != 0 {
			n := w
			n.releaseReplies &^= bit
			if n.releasedAt == 0 {
				n.releasedAt = max(w.now, 1)
			}
			yield(n)
		}
	}
}

// search returns whether an unsafe state can be reached, and how many states
// were visited.
func (p params) search() (found bool, visited int) {
	first := initialWorld()
	seen := map[world]struct{}{first: {}}
	queue := []world{first}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if p.unsafe(w) {
			return true, len(seen)
		}
		if len(seen) > maxStates {
			panic("leaser: the search visited more than maxStates states")
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
	noWitness     = uint8(0)
	firstWitness  = uint8(1)
	bothWitnesses = uint8(3)
)

func assertSafe(t *testing.T, p params) {
	t.Helper()
	found, visited := p.search()
	t.Logf("%d states", visited)
	assert.Assert(t, !found, "the agent still holds a lease that the successor treats as lapsed")
}

func assertUnsafe(t *testing.T, p params) {
	t.Helper()
	found, _ := p.search()
	assert.Assert(t, found, "the search found no violation despite the injected defect")
}

func TestLeasesNeverOverlap(t *testing.T) {
	t.Run("no witness", func(t *testing.T) { assertSafe(t, params{possibleLists: []uint8{noWitness}, currentList: noWitness}) })
	t.Run("one witness", func(t *testing.T) {
		assertSafe(t, params{instantDelivery: true, possibleLists: []uint8{firstWitness}, currentList: firstWitness})
	})
	t.Run("two witnesses", func(t *testing.T) {
		assertSafe(t, params{instantDelivery: true, possibleLists: []uint8{bothWitnesses}, currentList: bothWitnesses})
	})
	t.Run("unconfirmed change of the list, old list in force", func(t *testing.T) {
		assertSafe(t, params{instantDelivery: true, possibleLists: []uint8{firstWitness, bothWitnesses}, currentList: firstWitness})
	})
	t.Run("unconfirmed change of the list, new list in force", func(t *testing.T) {
		assertSafe(t, params{instantDelivery: true, possibleLists: []uint8{bothWitnesses, firstWitness}, currentList: firstWitness})
	})
	t.Run("unconfirmed first list", func(t *testing.T) {
		assertSafe(t, params{instantDelivery: true, possibleLists: []uint8{noWitness, firstWitness}, currentList: noWitness})
	})
}

func TestSearchFindsDefects(t *testing.T) {
	t.Run("a witness forgets its release", func(t *testing.T) {
		assertUnsafe(t, params{instantDelivery: true, possibleLists: []uint8{firstWitness}, currentList: firstWitness, witnessForgets: true})
	})
	t.Run("the agent counts its lease from the receipt of the reply", func(t *testing.T) {
		assertUnsafe(t, params{possibleLists: []uint8{noWitness}, currentList: noWitness, countsFromReceipt: true})
	})
	t.Run("the successor skips its wait", func(t *testing.T) {
		assertUnsafe(t, params{possibleLists: []uint8{noWitness}, currentList: noWitness, skipsWait: true})
	})
	t.Run("a round counts from its last reply", func(t *testing.T) {
		assertUnsafe(t, params{instantDelivery: true, possibleLists: []uint8{firstWitness}, currentList: firstWitness, countsFromLastReply: true})
	})
	t.Run("leases are extended though a list is empty", func(t *testing.T) {
		assertUnsafe(t, params{instantDelivery: true, possibleLists: []uint8{noWitness, firstWitness}, currentList: noWitness, extendsOnEmptyList: true})
	})
	t.Run("only the witnesses of the new list are asked while its change is unconfirmed", func(t *testing.T) {
		assertUnsafe(t, params{instantDelivery: true, possibleLists: []uint8{bothWitnesses, firstWitness}, currentList: bothWitnesses, asksNewestOnly: true})
	})
	t.Run("the cap is ignored", func(t *testing.T) {
		assertUnsafe(t, params{instantDelivery: true, possibleLists: []uint8{firstWitness}, currentList: firstWitness, ignoresCap: true})
	})
}
