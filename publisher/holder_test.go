package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/piper"
)

// TestLargeSetOverNarrowLink guards against a set that is never in force on processes
// whose link needs longer for it than a call to a peer may wait.
func TestLargeSetOverNarrowLink(t *testing.T) {
	const (
		applyBound = 3 * time.Second
		linkRate   = 125_000 // bytes per second, 1 Mbit/s
		setSize    = 2 * linkRate
	)
	var set cowslipbend.Set
	size := 0
	for i := 0; size < setSize; i++ {
		team := cowslipbend.Team{Name: cowslipbend.TeamID(fmt.Sprintf("team%06d", i))}
		size += len(`{"name":""},`) + len(team.Name)
		set.Teams = append(set.Teams, team)
	}
	raw, err := json.Marshal(set)
	assert.NilError(t, err)
	synctest.Test(t, func(t *testing.T) {
		peer := newHolder(&http.Client{}, hclog.NewNullLogger())
		assert.NilError(t, peer.Install(7, raw))
		h := newHolder(piper.Client(t, piper.Link{Rate: linkRate}, control.NewConfigServer(peer)), hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return h.Run(ctx) })
		h.OfferRevision("http://peer", 7)
		time.Sleep(applyBound)
		assert.Equal(t, h.Revision(), cowslipbend.Revision(7))
		cancel()
		assert.NilError(t, g.Wait())
	})
}
