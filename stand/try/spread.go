package try

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/timer"
)

// spreads gathers how long published sets took to be in force everywhere.
type spreads struct {
	mu   sync.Mutex
	list []time.Duration
}

// Times of looking at processes.
const (
	spreadLook    = 25 * cowslipbend.Millisecond
	spreadTimeout = 20 * time.Second
	pullTimeout   = time.Second
)

// follow waits until all running processes have the revision.
func (s *spreads) follow(ctx context.Context, sys *System, rev cowslipbend.Revision, from time.Time) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	client := &http.Client{Timeout: pullTimeout}
	defer client.CloseIdleConnections()
	var g errgroup.Group
	for _, list := range [][]*part{sys.entries, sys.agents} {
		for i := range list {
			g.Go(func() error {
				sys.awaitRevision(ctx, client, list, i, rev)
				return nil
			})
		}
	}
	_ = g.Wait()
	if ctx.Err() != nil && time.Since(from) < spreadTimeout {
		return // The case ended first.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, time.Since(from))
}

// awaitRevision waits until whichever process runs at the place has the
// revision.
func (s *System) awaitRevision(ctx context.Context, client *http.Client, list []*part, i int, rev cowslipbend.Revision) {
	for {
		s.mu.Lock()
		url := list[i].url
		s.mu.Unlock()
		reply, err := control.NewConfigProtobufClient(url, client).Pull(ctx, &control.PullRequest{Revision: int64(rev)})
		if err == nil && reply.GetRevision() >= int64(rev) {
			return
		}
		if !timer.Sleep(ctx, timer.Host{}, spreadLook) {
			return
		}
	}
}

// all returns the times so far.
func (s *spreads) all() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.list...)
}
