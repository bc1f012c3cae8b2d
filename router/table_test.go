package router_test

import (
	"context"
	"strings"
	"sync"

	"cowslipbend.dev"
)

// faults are what a table does wrong: refuse reads, refuse commits, or lose
// the answers of commits that took effect.
type faults struct{ read, commit, after cowslipbend.Kind }

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

func fault(k cowslipbend.Kind) error {
	if k == "" {
		return nil
	}
	return cowslipbend.Fail(k, "planted", "none")
}

func (f *faultyTable) Get(ctx context.Context, key string) (cowslipbend.Row, error) {
	if err := fault(f.get().read); err != nil {
		return cowslipbend.Row{}, err
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	x := f.get()
	if err := fault(x.commit); err != nil {
		return 0, err
	}
	version, err := f.Table.Commit(ctx, txn)
	if err == nil {
		err = fault(x.after)
	}
	return version, err
}

// pausingTable holds back the answer of the first commit of a claim after arm.
type pausingTable struct {
	cowslipbend.Table
	mu      sync.Mutex
	armed   bool
	stop    chan struct{}
	stopped chan struct{}
}

func (p *pausingTable) arm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = true
}

func (p *pausingTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	version, err := p.Table.Commit(ctx, txn)
	p.mu.Lock()
	hold := p.armed && len(txn.Puts) > 0 && strings.HasPrefix(txn.Puts[0].Key, "claim/")
	p.armed = p.armed && !hold
	p.mu.Unlock()
	if hold {
		p.stopped <- struct{}{}
		<-p.stop
	}
	return version, err
}
