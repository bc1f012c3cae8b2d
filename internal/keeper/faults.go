package keeper

import (
	"context"
	"math/rand/v2"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Fault is what happens to one write.
type Fault int

// The faults of a write.
const (
	// Pass applies the write and answers.
	Pass Fault = iota
	// Refuse has no effect and says so.
	Refuse
	// LoseAnswer applies the write; its answer is lost.
	LoseAnswer
	// LoseRequest has no effect, and no answer comes.
	LoseRequest
)

// Faults makes a table and an object store fail on demand. It is safe for
// concurrent use; the same seed gives the same faults to the same sequence of
// writes.
type Faults struct {
	clock cowslipbend.Clock

	mu     sync.Mutex
	rnd    *rand.Rand
	down   bool
	slow   cowslipbend.Span
	share  float64
	script []Fault
}

// NewFaults returns switches that are all off.
func NewFaults(seed uint64, clock cowslipbend.Clock) *Faults {
	return &Faults{clock: clock, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// Down takes the store down, or brings it back.
func (f *Faults) Down(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Slow makes every exchange take the span longer.
func (f *Faults) Slow(by cowslipbend.Span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = by
}

// Lose makes a share of the writes, from 0 to 1, lose their answer; they have
// their effect.
func (f *Faults) Lose(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = share
}

// Next sets what happens to the next writes, in this order.
func (f *Faults) Next(script ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = append(f.script, script...)
}

func isDown() error {
	return cowslipbend.Fail(cowslipbend.KindDown, "store is unavailable", "wait for the platform's store")
}

func isLost() error {
	return cowslipbend.Fail(cowslipbend.KindUnknown, "answer of the store was lost", "read the rows again to learn the effect")
}

// wait takes the time of a slow exchange and fails while the store is down.
func (f *Faults) wait(ctx context.Context) error {
	f.mu.Lock()
	slow, down := f.slow, f.down
	f.mu.Unlock()
	if down {
		return isDown()
	}
	if slow > 0 && !timer.Sleep(ctx, f.clock, slow) {
		return isLost()
	}
	return nil
}

// draw returns what happens to one write.
func (f *Faults) draw() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.script) > 0 {
		next := f.script[0]
		f.script = f.script[1:]
		return next
	}
	if f.share > 0 && f.rnd.Float64() < f.share {
		return LoseAnswer
	}
	return Pass
}

// write does one write under the faults.
func (f *Faults) write(ctx context.Context, do func() error) error {
	if err := f.wait(ctx); err != nil {
		return err
	}
	fault := f.draw()
	switch fault {
	case Refuse:
		return isDown()
	case LoseRequest:
		return isLost()
	case Pass, LoseAnswer:
	}
	err := do()
	if fault == LoseAnswer {
		return isLost()
	}
	return err
}

// Table returns the table under these faults.
func (f *Faults) Table(t cowslipbend.Table) cowslipbend.Table { return faultyTable{f, t} }

// Objects returns the object store under these faults.
func (f *Faults) Objects(o cowslipbend.Objects) cowslipbend.Objects { return faultyObjects{f, o} }

type faultyTable struct {
	faults *Faults
	next   cowslipbend.Table
}

func (t faultyTable) Get(ctx context.Context, key string) (cowslipbend.Row, error) {
	if err := t.faults.wait(ctx); err != nil {
		return cowslipbend.Row{}, isDown()
	}
	return t.next.Get(ctx, key)
}

func (t faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]cowslipbend.Row, error) {
	if err := t.faults.wait(ctx); err != nil {
		return nil, isDown()
	}
	return t.next.Scan(ctx, prefix, after, limit)
}

func (t faultyTable) Commit(ctx context.Context, txn cowslipbend.Txn) (version int64, err error) {
	err = t.faults.write(ctx, func() error {
		version, err = t.next.Commit(ctx, txn)
		return err
	})
	if err != nil {
		version = 0
	}
	return version, err
}

type faultyObjects struct {
	faults *Faults
	next   cowslipbend.Objects
}

func (o faultyObjects) Put(ctx context.Context, name string, data []byte) error {
	return o.faults.write(ctx, func() error { return o.next.Put(ctx, name, data) })
}

func (o faultyObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.faults.wait(ctx); err != nil {
		return nil, isDown()
	}
	return o.next.Get(ctx, name)
}

func (o faultyObjects) Delete(ctx context.Context, name string) error {
	return o.faults.write(ctx, func() error { return o.next.Delete(ctx, name) })
}
