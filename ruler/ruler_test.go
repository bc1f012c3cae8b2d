package ruler_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/ruler"
	"cowslipbend.dev/timer"
)

func decode(value []byte) (*cowslipbend.Rules, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "write the row again", "value is not a version number")
	}
	return &cowslipbend.Rules{Version: version}, nil
}

func TestRuler(t *testing.T) {
	table := &keeper.Table{}
	r := ruler.New(ruler.Source{Feed: table, Table: "op", Key: "op/config", Decode: decode}, timer.Host{}, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return r.Run(ctx) })
	put := func(key, value string) {
		_, err := table.Commit(ctx, cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: key, Value: []byte(value)}}})
		assert.NilError(t, err)
	}
	waitForVersion := func(want int64) {
		for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if now := r.Rules(); now != nil && now.Version == want {
				return
			}
		}
		t.Fatalf("version %d never came into force", want)
	}
	assert.Assert(t, r.Rules() == nil)
	put("op/config", "3")
	waitForVersion(3)
	put("op/config", "2") // An older version, an undecodable value and a row under another key are ignored.
	put("op/config", "x")
	put("op/other", "9")
	put("op/config", "5")
	waitForVersion(5)
	table.ForgetChanges()
	put("op/config", "8")
	waitForVersion(8)
	cancel()
	assert.NilError(t, g.Wait())
}
