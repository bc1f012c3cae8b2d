package admitter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/timer"
)

const incarnation = cowslipbend.Incarnation("L1")

func newGate(t *testing.T, slots int) (*admitter.Gate, *timer.Manual) {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(cowslipbend.Second)
	g := admitter.New(incarnation, clock, admitter.Defaults())
	assert.NilError(t, g.Announce(admitter.Announcement{ID: "e", Service: "s", URL: "http://127.0.0.1:1", Slots: slots, Conns: 64}))
	return g, clock
}

func request(g *admitter.Gate, id cowslipbend.RequestID) admitter.Request {
	return admitter.Request{ID: id, Service: "s", Life: incarnation, Token: g.Token()}
}

func query(incarnation cowslipbend.Incarnation, token cowslipbend.Time) admitter.Query {
	return admitter.Query{ID: "a", Life: incarnation, Token: token, NonIdempotent: true}
}

func assertKind(t *testing.T, err error, kind cowslipbend.Kind) {
	t.Helper()
	assert.Equal(t, cowslipbend.KindOf(err), kind, "%v", err)
}

func TestAccept(t *testing.T) {
	t.Run("refuses beyond the slots", func(t *testing.T) {
		g, _ := newGate(t, 1)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		_, err = g.Accept(request(g, "b"))
		assertKind(t, err, cowslipbend.KindBusy)
		ticket.FinishNotRun()
		_, err = g.Accept(request(g, "c"))
		assert.NilError(t, err)
	})
	t.Run("refuses a voided id", func(t *testing.T) {
		g, _ := newGate(t, 1)
		state, _ := g.Void(query(incarnation, g.Token()))
		assert.Equal(t, state, admitter.Never)
		_, err := g.Accept(request(g, "a"))
		assertKind(t, err, cowslipbend.KindConflict)
	})
	t.Run("refuses an old token after the tombstone is gone", func(t *testing.T) {
		g, clock := newGate(t, 1)
		r := request(g, "a")
		g.Void(query(incarnation, r.Token))
		clock.Advance(admitter.Defaults().Retention + 1)
		_, err := g.Accept(r)
		assertKind(t, err, cowslipbend.KindStale)
	})
	t.Run("refuses an earlier incarnation", func(t *testing.T) {
		g, _ := newGate(t, 1)
		r := request(g, "a")
		r.Life = "L0"
		_, err := g.Accept(r)
		assertKind(t, err, cowslipbend.KindStale)
	})
}

func TestWatch(t *testing.T) {
	clock := &timer.Manual{}
	g := admitter.New(incarnation, clock, admitter.Defaults())
	assert.NilError(t, g.Announce(admitter.Announcement{ID: "e", Service: "s", URL: "http://127.0.0.1:1", Slots: 1, Conns: 2}))
	watch := request(g, "w")
	watch.Watch = true
	_, err := g.Accept(watch)
	assert.NilError(t, err)
	plain, err := g.Accept(request(g, "a"))
	assert.NilError(t, err, "a watch uses no slot")
	watch.ID = "w2"
	_, err = g.Accept(watch)
	assertKind(t, err, cowslipbend.KindBusy)
	plain.FinishNotRun()
	_, err = g.Accept(watch)
	assert.NilError(t, err, "the plain request has released its connection")
	_, err = g.Accept(request(g, "b"))
	assertKind(t, err, cowslipbend.KindBusy)
}

func TestExpireEndpoints(t *testing.T) {
	g, clock := newGate(t, 2)
	ticket, err := g.Accept(request(g, "a"))
	assert.NilError(t, err)
	clock.Advance(cowslipbend.Second)
	g.ExpireEndpoints(cowslipbend.Second / 2)
	_, err = g.Accept(request(g, "b"))
	assertKind(t, err, cowslipbend.KindBusy)
	assert.NilError(t, g.Announce(admitter.Announcement{ID: "e", Service: "s", URL: "http://127.0.0.1:1", Slots: 2, Conns: 64}))
	_, err = g.Accept(request(g, "b"))
	assert.NilError(t, err, "the endpoint was announced again")
	ticket.FinishNotRun()
	assert.NilError(t, g.Withdraw("e"))
	assert.NilError(t, g.Announce(admitter.Announcement{ID: "e", Service: "s", URL: "http://127.0.0.1:1", Slots: 2, Conns: 64}))
	_, err = g.Accept(request(g, "c"))
	assertKind(t, err, cowslipbend.KindBusy)
}

func TestVoid(t *testing.T) {
	t.Run("reports an earlier incarnation as unknowable", func(t *testing.T) {
		g, _ := newGate(t, 1)
		state, _ := g.Void(query("L0", g.Token()))
		assert.Equal(t, state, admitter.Unknowable)
	})
	t.Run("refuses a repeated id as possibly run", func(t *testing.T) {
		g, _ := newGate(t, 2)
		_, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		_, err = g.Accept(request(g, "a"))
		assertKind(t, err, cowslipbend.KindUnknown)
	})
	t.Run("keeps the record of a non-idempotent request after its token is refused", func(t *testing.T) {
		g, clock := newGate(t, 1)
		q := query(incarnation, g.Token())
		clock.Advance(admitter.Defaults().Retention + 1)
		state, _ := g.Void(q)
		assert.Equal(t, state, admitter.Never)
		q.NonIdempotent = false
		q.ID = "b"
		state, _ = g.Void(q)
		assert.Equal(t, state, admitter.Unknowable)
		q.NonIdempotent = true
		clock.Advance(admitter.Defaults().AnswerRetention)
		state, _ = g.Void(q)
		assert.Equal(t, state, admitter.Unknowable)
	})
	t.Run("returns the kept answer of a non-idempotent request", func(t *testing.T) {
		g, _ := newGate(t, 1)
		r := request(g, "a")
		r.NonIdempotent = true
		ticket, err := g.Accept(r)
		assert.NilError(t, err)
		ticket.Finish(admitter.Answer{Status: 200, Body: []byte("whole")}, true, false)
		state, answer := g.Void(query(incarnation, r.Token))
		assert.Equal(t, state, admitter.Done)
		assert.Equal(t, string(answer.Body), "whole")
	})
}

func TestAbandon(t *testing.T) {
	const usualTime = 40 * cowslipbend.Millisecond
	gateAfterAnswer := func(t *testing.T) (*admitter.Gate, *timer.Manual) {
		t.Helper()
		g, clock := newGate(t, 1)
		ticket, err := g.Accept(request(g, "first"))
		assert.NilError(t, err)
		clock.Advance(usualTime)
		ticket.Finish(admitter.Answer{}, true, false)
		return g, clock
	}
	t.Run("the slot stays in use for the usual time of an answer", func(t *testing.T) {
		g, clock := gateAfterAnswer(t)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		clock.Advance(usualTime / 4)
		ticket.Abandon()
		_, err = g.Accept(request(g, "b"))
		assertKind(t, err, cowslipbend.KindBusy)
		assert.Equal(t, g.State("s").UsedSlots, 1)
		clock.Advance(usualTime * 3 / 4)
		assert.Equal(t, g.State("s").UsedSlots, 0)
		_, err = g.Accept(request(g, "c"))
		assert.NilError(t, err)
	})
	t.Run("a request beyond the usual time keeps its slot, as its end is not known", func(t *testing.T) {
		g, clock := gateAfterAnswer(t)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		clock.Advance(2 * usualTime)
		ticket.Abandon()
		clock.Advance(cowslipbend.Second)
		_, err = g.Accept(request(g, "b"))
		assertKind(t, err, cowslipbend.KindBusy)
		clock.Advance(2 * cowslipbend.Second)
		_, err = g.Accept(request(g, "c"))
		assert.NilError(t, err)
	})
	t.Run("the first request of an endpoint keeps its slot", func(t *testing.T) {
		g, clock := newGate(t, 1)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		clock.Advance(usualTime)
		ticket.Abandon()
		_, err = g.Accept(request(g, "b"))
		assertKind(t, err, cowslipbend.KindBusy)
	})
	t.Run("the request may have run", func(t *testing.T) {
		g, _ := gateAfterAnswer(t)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		ticket.Abandon()
		state, _ := g.Void(query(incarnation, g.Token()))
		assert.Equal(t, state, admitter.Lost)
	})
	t.Run("leaving does not wait for abandoned requests", func(t *testing.T) {
		g, _ := gateAfterAnswer(t)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		ticket.Abandon()
		select {
		case <-g.Leave():
		default:
			t.Fatal("Leave waits for an abandoned request")
		}
	})
}
