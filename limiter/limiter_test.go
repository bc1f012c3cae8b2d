package limiter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/limiter"
	"cowslipbend.dev/timer"
)

func newLimiter(t *testing.T, rate, burst float64) (*limiter.Limiter, *timer.Manual) {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(cowslipbend.Minute)
	l := limiter.New(clock)
	l.Declare([]cowslipbend.Limit{{Name: "l", Team: "t", Rate: rate, Burst: burst}})
	return l, clock
}

// admitted sends n requests and returns how many are admitted.
func admitted(l *limiter.Limiter, n int) int {
	count := 0
	for range n {
		if l.Admit("t", "s") == nil {
			count++
		}
	}
	return count
}

func TestAdmit(t *testing.T) {
	t.Run("says when the next token comes", func(t *testing.T) {
		l, clock := newLimiter(t, 10, 5)
		assert.Equal(t, admitted(l, 20), 5)
		err := cowslipbend.AsError(l.Admit("t", "s"))
		assert.Equal(t, err.Kind, cowslipbend.KindLimited)
		assert.Equal(t, err.After, 100*cowslipbend.Millisecond)
		clock.Advance(err.After)
		assert.NilError(t, l.Admit("t", "s"))
	})
	t.Run("says when the last of several limits has a token", func(t *testing.T) {
		l, _ := newLimiter(t, 10, 1)
		l.Declare([]cowslipbend.Limit{{Name: "fast", Team: "t", Rate: 10, Burst: 1}, {Name: "slow", Service: "s", Rate: 1, Burst: 1}})
		assert.NilError(t, l.Admit("t", "s"))
		err := cowslipbend.AsError(l.Admit("t", "s"))
		assert.Equal(t, err.After, cowslipbend.Second)
		assert.ErrorContains(t, err, "slow")
	})
	t.Run("does not limit other teams", func(t *testing.T) {
		l, _ := newLimiter(t, 1, 1)
		assert.Equal(t, admitted(l, 2), 1)
		assert.NilError(t, l.Admit("other", "s"))
	})
	t.Run("takes no token of a limit when another one refuses", func(t *testing.T) {
		l, clock := newLimiter(t, 1, 1)
		l.Declare([]cowslipbend.Limit{{Name: "wide", Team: "t", Rate: 2, Burst: 2}, {Name: "tight", Service: "s", Rate: 1, Burst: 1}})
		assert.Equal(t, admitted(l, 5), 1)
		assert.NilError(t, l.Admit("t", "other"), "one token of the wide limit is left")
		assert.Assert(t, l.Admit("t", "other") != nil)
		clock.Advance(cowslipbend.Second)
		assert.NilError(t, l.Admit("t", "s"))
	})
	t.Run("keeps the tokens of a limit that is declared again", func(t *testing.T) {
		l, _ := newLimiter(t, 1, 3)
		assert.Equal(t, admitted(l, 5), 3)
		l.Declare([]cowslipbend.Limit{{Name: "l", Team: "t", Rate: 1, Burst: 3}})
		assert.Equal(t, admitted(l, 5), 0)
	})
}

// fleet is a group of entries that exchange their usages.
type fleet struct {
	clock   *timer.Manual
	entries []*limiter.Limiter
	ids     []cowslipbend.EntryID
}

const window = 500 * cowslipbend.Millisecond

func newFleet(n int, rate float64) *fleet {
	f := &fleet{clock: &timer.Manual{}}
	for i := range n {
		l := limiter.New(f.clock)
		l.Declare([]cowslipbend.Limit{{Name: "l", Team: "t", Rate: rate, Burst: rate / 10}})
		f.entries = append(f.entries, l)
		f.ids = append(f.ids, cowslipbend.EntryID(rune('a'+i)))
	}
	return f
}

// run simulates windows in which each entry receives its count of requests, and
// returns how many each admitted. Only the first entries, as many as reporting
// says, send their usages to the others.
func (f *fleet) run(windows, reporting int, requests ...int) []int {
	counts := make([]int, len(f.entries))
	const steps = 50
	for range windows {
		for step := range steps {
			f.clock.Advance(window / steps)
			for i, l := range f.entries {
				counts[i] += admitted(l, requests[i]*(step+1)/steps-requests[i]*step/steps)
			}
		}
		for i, l := range f.entries {
			l.Tick(append(append([]cowslipbend.EntryID(nil), f.ids[:i]...), f.ids[i+1:]...))
			for j, other := range f.entries {
				if i != j && i < reporting {
					other.UpdatePeer(f.ids[i], l.Usages())
				}
			}
		}
	}
	return counts
}

func sum(list []int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}

func TestShares(t *testing.T) {
	const rate = 300
	t.Run("follow demand and add up to no more than the limit", func(t *testing.T) {
		f := newFleet(3, rate)
		f.run(20, 3, 400, 0, 0)
		counts := f.run(20, 3, 400, 0, 0) // 10 s
		assert.Assert(t, counts[0] >= rate*10*85/100, "%v", counts)
		assert.Assert(t, sum(counts) <= rate*10*105/100, "%v", counts)
	})
	t.Run("are even under even demand", func(t *testing.T) {
		f := newFleet(3, rate)
		f.run(20, 3, 400, 400, 400)
		counts := f.run(20, 3, 400, 400, 400)
		for _, n := range counts {
			assert.Assert(t, n >= rate*10*30/100 && n <= rate*10*37/100, "%v", counts)
		}
	})
	t.Run("decay to even shares when a peer stops reporting", func(t *testing.T) {
		f := newFleet(2, rate)
		f.run(20, 2, 400, 0)
		f.run(40, 0, 400, 400)
		counts := f.run(20, 0, 400, 400)
		assert.Assert(t, sum(counts) <= rate*10*105/100, "%v", counts)
		assert.Assert(t, counts[1] >= rate*10*40/100, "%v", counts)
	})
}
