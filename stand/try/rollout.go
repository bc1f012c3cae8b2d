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

// rolloutTimes collects the times from the publish of a revision until all
// entries and agents have applied it.
type rolloutTimes struct {
	mu        sync.Mutex
	durations []time.Duration
}

const (
	rolloutPollInterval = 25 * cowslipbend.Millisecond
	rolloutTimeout      = 20 * time.Second
	pullTimeout         = time.Second
)

// awaitRollout waits until all entries and agents have the revision, and records
// the time since publishedAt. At the rollout timeout it records the time so far;
// if the case ends before, it records nothing.
func (s *rolloutTimes) awaitRollout(ctx context.Context, sys *System, rev cowslipbend.Revision, publishedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	client := &http.Client{Timeout: pullTimeout}
	defer client.CloseIdleConnections()
	var g errgroup.Group
	for _, list := range [][]*component{sys.entries, sys.agents} {
		for i := range list {
			g.Go(func() error {
				sys.awaitRevision(ctx, client, list, i, rev)
				return nil
			})
		}
	}
	_ = g.Wait()
	if ctx.Err() != nil && time.Since(publishedAt) < rolloutTimeout {
		return // The case ended.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations = append(s.durations, time.Since(publishedAt))
}

// awaitRevision polls the i-th component of the list, also after it is replaced,
// until it has the revision or the context ends.
func (s *System) awaitRevision(ctx context.Context, client *http.Client, list []*component, i int, rev cowslipbend.Revision) {
	for {
		s.mu.Lock()
		url := list[i].url
		s.mu.Unlock()
		reply, err := control.NewConfigProtobufClient(url, client).Pull(ctx, &control.PullRequest{Revision: int64(rev)})
		if err == nil && reply.GetRevision() >= int64(rev) {
			return
		}
		if !timer.Sleep(ctx, timer.Host{}, rolloutPollInterval) {
			return
		}
	}
}

// all returns the times recorded so far.
func (s *rolloutTimes) all() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.durations...)
}
