package router_test

import (
	"context"
	"strings"
	"sync"

	"cowslipbend.dev"
)

// faults are the kinds of the errors that a table returns from reads, from
// commits that have no effect, and from commits that took effect but whose
// answer is lost. An empty kind means no error.
type faults struct{ getKind, commitKind, lostAnswerKind cowslipbend.Kind }

type faultyTable struct {
	cowslipbend.Table
	mu     sync.Mutex
	faults faults
}

func (f *faultyTable) set(x faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

func (f *faultyTable) get() faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func injectedError(k cowslipbend.Kind) error {
	if k == "" {
		return nil
	}
	return cowslipbend.Fail(k, "injected fault", "none")
}

func (f *faultyTable) Get(ctx context.Context, key string) (cowslipbend.Row, error) {
	if err := injectedError(f.get().getKind); err != nil {
		return cowslipbend.Row{}, err
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	x := f.get()
	if err := injectedError(x.commitKind); err != nil {
		return 0, err
	}
	version, err := f.Table.Commit(ctx, txn)
	if err == nil {
		err = injectedError(x.lostAnswerKind)
	}
	return version, err
}

// pausingTable delays the answer of the first commit of a claim after arm until
// resume is closed.
type pausingTable struct {
	cowslipbend.Table
	mu     sync.Mutex
	armed  bool
	resume chan struct{}
	paused chan struct{}
}

func (p *pausingTable) arm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = true
}

func (p *pausingTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	version, err := p.Table.Commit(ctx, txn)
	p.mu.Lock()
	pause := p.armed && len(txn.Puts) > 0 && strings.HasPrefix(txn.Puts[0].Key, "claim/")
	p.armed = p.armed && !pause
	p.mu.Unlock()
	if pause {
		p.paused <- struct{}{}
		<-p.resume
	}
	return version, err
}
