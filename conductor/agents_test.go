package conductor_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/planner"
)

// limitedTable refuses rows and transactions that are too large, as the platform's store does.
type limitedTable struct {
	keeper.Table
	maxRow int
	// refuseAll has it refuse all transactions of the table run.
	refuseAll atomic.Bool
	// refused counts the transactions that were too large, and largest is the size of the largest.
	refused, largest atomic.Int64
}

// maxTransaction is the size of the largest transaction, as text.
const maxTransaction = 1_000_000

func (l *limitedTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	size := 0
	for _, p := range txn.Puts {
		size += len(p.Key) + base64.StdEncoding.EncodedLen(len(p.Value))
	}
	l.largest.Store(max(l.largest.Load(), int64(size)))
	if size > maxTransaction {
		l.refused.Add(1)
		return 0, cowslipbend.Fail(cowslipbend.KindInvalid, fmt.Sprintf("transaction has %d bytes", size), "")
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, "run/") && (len(p.Value) > l.maxRow || l.refuseAll.Load()) {
			return 0, cowslipbend.Fail(cowslipbend.KindInvalid, fmt.Sprintf("row %s has %d bytes", p.Key, len(p.Value)), "")
		}
	}
	return l.Table.Commit(ctx, txn)
}

const agentRows = "run/~agent/"

// countRows returns the number of rows with the prefix.
func countRows(t *testing.T, table cowslipbend.Table, prefix string) int {
	t.Helper()
	rows, err := table.Scan(t.Context(), prefix, "", 1<<20)
	assert.NilError(t, err)
	return len(rows)
}

// reportHost sends the report of an agent whose runner is idle.
func (o *owner) reportHost(t *testing.T, number int64, url string, life cowslipbend.Incarnation) (reply cowslipbend.ReportReply) {
	t.Helper()
	waitFor(t, "a report is accepted", func() (ok bool) {
		var err error
		reply, err = o.Report(t.Context(), &cowslipbend.HostReport{
			Agent: "a", URL: url, Number: number, Fence: o.Epoch(),
			Host: &cowslipbend.HostSpec{Life: life, Runner: "h", Service: "ledger", Size: cowslipbend.Resources{CPU: 4000, Mem: cowslipbend.GB}},
		})
		return err == nil
	})
	return reply
}

// shortLeases are options under which a silent host is given up after a second or two.
func shortLeases() planner.Options {
	return planner.Options{MaxLease: 100 * cowslipbend.Millisecond, MaxPriorLease: 200 * cowslipbend.Millisecond, FlowRetention: cowslipbend.Minute}
}

// TestReplacedAgents guards against machines replaced over the life of the system which grow a row
// until the store refuses it, and every owner with it.
func TestReplacedAgents(t *testing.T) {
	const replaced = 400
	table := &limitedTable{maxRow: 16 << 10}
	o := newOwnerWith(t, table, shortLeases())
	url := func(n int) string { return fmt.Sprintf("http://127.0.0.1:1/%d", n) }
	life := func(n int) cowslipbend.Incarnation {
		return cowslipbend.Incarnation(fmt.Sprintf("i-%08x@%d", n, 1765123456789+n))
	}
	for n := range replaced {
		o.reportHost(t, 1, url(n), life(n))
	}
	number := int64(1)
	waitFor(t, "the rows of agents that are gone are deleted", func() bool {
		number++
		granted := o.reportHost(t, number, url(replaced-1), life(replaced-1)).LeaseGrant > 0
		select {
		case <-o.Done():
			t.Fatal("the owner has ended")
		default:
		}
		return granted && countRows(t, &table.Table, agentRows) == 1
	})
	o.stop()
	next := newOwnerWith(t, table, shortLeases())
	assert.Assert(t, next.reportHost(t, 1, url(replaced-1), life(replaced-1)).LeaseGrant > 0)
	assert.Assert(t, !next.log.contains(url(0)), "the next owner knows an agent that is gone")
}

// TestAgentsRow guards against a list of agents, as earlier builds stored it, that stays in the
// store or is not read.
func TestAgentsRow(t *testing.T) {
	rows := []planner.AgentRow{{URL: "http://127.0.0.1:1/1", RunnerLife: "h@2"}, {URL: "http://127.0.0.1:1/2", RunnerLife: "i@1"}}
	list, err := json.Marshal(rows)
	assert.NilError(t, err)
	table := &limitedTable{maxRow: 1 << 16}
	_, err = table.Commit(t.Context(), cowslipbend.Txn{Puts: append(put("~agents", string(list)), put("~agent/http://127.0.0.1:1/1", `{"u":"http://127.0.0.1:1/1","h":"h@1"}`)...)})
	assert.NilError(t, err)
	o := newOwnerWith(t, table, planner.Options{MaxLease: cowslipbend.Second, MaxPriorLease: cowslipbend.Minute, FlowRetention: cowslipbend.Minute})
	o.reportHost(t, 1, "http://127.0.0.1:1/3", "j@1")
	waitFor(t, "the rows are written", func() bool { return countRows(t, &table.Table, agentRows) == 3 })
	assertRow(t, table, "~agents", "")
	assertRow(t, table, "~agent/http://127.0.0.1:1/1", `{"u":"http://127.0.0.1:1/1","h":"h@2"}`)
	assertRow(t, table, "~agent/http://127.0.0.1:1/2", `{"u":"http://127.0.0.1:1/2","h":"i@1"}`)
}

// TestMalformedAgentRow guards against rows of another writer that keep an owner from its agents.
func TestMalformedAgentRow(t *testing.T) {
	for _, value := range []string{"", "{", "null", `{"u":"http://other"}`, `[{"u":"x"}]`, strings.Repeat("[", 9000)} {
		for _, key := range []string{"~agents", "~agent/http://127.0.0.1:1/1"} {
			table := &keeper.Table{}
			_, err := table.Commit(t.Context(), cowslipbend.Txn{Puts: put(key, value)})
			assert.NilError(t, err)
			o := newOwnerWith(t, table, shortLeases())
			assert.Assert(t, o.reportHost(t, 1, "http://127.0.0.1:1/2", "h@1").LeaseGrant > 0, "%s %.20s", key, value)
			o.stop()
		}
	}
}
