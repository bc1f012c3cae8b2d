package admitter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/timer"
)

const life = cowslipbend.Incarnation("L1")

func newGate(t *testing.T, slots int) (*admitter.Gate, *timer.Manual) {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(cowslipbend.Second)
	g := admitter.New(life, clock, admitter.Defaults())
	assert.NilError(t, g.Announce(admitter.Announcement{ID: "e", Service: "s", URL: "http://127.0.0.1:1", Slots: slots, Conns: 64}))
	return g, clock
}

func request(g *admitter.Gate, id cowslipbend.RequestID) admitter.Request {
	return admitter.Request{ID: id, Service: "s", Life: life, Token: g.Token()}
}

func question(life cowslipbend.Incarnation, token cowslipbend.Time) admitter.Question {
	return admitter.Question{ID: "a", Life: life, Token: token, Once: true}
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
		ticket.Unrun()
		_, err = g.Accept(request(g, "c"))
		assert.NilError(t, err)
	})
	t.Run("refuses a voided id", func(t *testing.T) {
		g, _ := newGate(t, 1)
		state, _ := g.Void(question(life, g.Token()))
		assert.Equal(t, state, admitter.Never)
		_, err := g.Accept(request(g, "a"))
		assertKind(t, err, cowslipbend.KindConflict)
	})
	t.Run("refuses an old token after the tombstone is gone", func(t *testing.T) {
		g, clock := newGate(t, 1)
		r := request(g, "a")
		g.Void(question(life, r.Token))
		clock.Advance(admitter.Defaults().Retention + 1)
		_, err := g.Accept(r)
		assertKind(t, err, cowslipbend.KindStale)
	})
	t.Run("refuses an earlier life", func(t *testing.T) {
		g, _ := newGate(t, 1)
		r := request(g, "a")
		r.Life = "L0"
		_, err := g.Accept(r)
		assertKind(t, err, cowslipbend.KindStale)
	})
}

func TestWatch(t *testing.T) {
	clock := &timer.Manual{}
	g := admitter.New(life, clock, admitter.Defaults())
	assert.NilError(t, g.Announce(admitter.Announcement{ID: "e", Service: "s", URL: "http://127.0.0.1:1", Slots: 1, Conns: 2}))
	watch := request(g, "w")
	watch.Watch = true
	_, err := g.Accept(watch)
	assert.NilError(t, err)
	plain, err := g.Accept(request(g, "a"))
	assert.NilError(t, err, "a watch takes no slot")
	watch.ID = "w2"
	_, err = g.Accept(watch)
	assertKind(t, err, cowslipbend.KindBusy)
	plain.Unrun()
	_, err = g.Accept(watch)
	assert.NilError(t, err, "a plain request had taken the connection")
	_, err = g.Accept(request(g, "b"))
	assertKind(t, err, cowslipbend.KindBusy)
}

func TestSweep(t *testing.T) {
	g, clock := newGate(t, 2)
	ticket, err := g.Accept(request(g, "a"))
	assert.NilError(t, err)
	clock.Advance(cowslipbend.Second)
	g.Sweep(cowslipbend.Second / 2)
	_, err = g.Accept(request(g, "b"))
	assertKind(t, err, cowslipbend.KindBusy)
	assert.NilError(t, g.Announce(admitter.Announcement{ID: "e", Service: "s", URL: "http://127.0.0.1:1", Slots: 2, Conns: 64}))
	_, err = g.Accept(request(g, "b"))
	assert.NilError(t, err, "it is heard again")
	ticket.Unrun()
	assert.NilError(t, g.Withdraw("e"))
	assert.NilError(t, g.Announce(admitter.Announcement{ID: "e", Service: "s", URL: "http://127.0.0.1:1", Slots: 2, Conns: 64}))
	_, err = g.Accept(request(g, "c"))
	assertKind(t, err, cowslipbend.KindBusy)
}

func TestVoid(t *testing.T) {
	t.Run("cannot know of an earlier life", func(t *testing.T) {
		g, _ := newGate(t, 1)
		state, _ := g.Void(question("L0", g.Token()))
		assert.Equal(t, state, admitter.Unknowable)
	})
	t.Run("refuses to say not run of an accepted id", func(t *testing.T) {
		g, _ := newGate(t, 2)
		_, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		_, err = g.Accept(request(g, "a"))
		assertKind(t, err, cowslipbend.KindUnknown)
	})
	t.Run("remembers a non-idempotent request after its token is refused", func(t *testing.T) {
		g, clock := newGate(t, 1)
		q := question(life, g.Token())
		clock.Advance(admitter.Defaults().Retention + 1)
		state, _ := g.Void(q)
		assert.Equal(t, state, admitter.Never)
		q.Once = false
		q.ID = "b"
		state, _ = g.Void(q)
		assert.Equal(t, state, admitter.Unknowable)
		q.Once = true
		clock.Advance(admitter.Defaults().Keep)
		state, _ = g.Void(q)
		assert.Equal(t, state, admitter.Unknowable)
	})
	t.Run("returns the kept answer of a non-idempotent request", func(t *testing.T) {
		g, _ := newGate(t, 1)
		r := request(g, "a")
		r.Once = true
		ticket, err := g.Accept(r)
		assert.NilError(t, err)
		ticket.Finish(admitter.Answer{Status: 200, Body: []byte("whole")}, true, false)
		state, answer := g.Void(question(life, r.Token))
		assert.Equal(t, state, admitter.Done)
		assert.Equal(t, string(answer.Body), "whole")
	})
}

func TestAbandon(t *testing.T) {
	const usual = 40 * cowslipbend.Millisecond
	answered := func(t *testing.T) (*admitter.Gate, *timer.Manual) {
		t.Helper()
		g, clock := newGate(t, 1)
		ticket, err := g.Accept(request(g, "first"))
		assert.NilError(t, err)
		clock.Advance(usual)
		ticket.Finish(admitter.Answer{}, true, false)
		return g, clock
	}
	t.Run("the endpoint works on for as long as its answers take", func(t *testing.T) {
		g, clock := answered(t)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		clock.Advance(usual / 4)
		ticket.Abandon()
		_, err = g.Accept(request(g, "b"))
		assertKind(t, err, cowslipbend.KindBusy)
		assert.Equal(t, g.State("s").Inflight, 1)
		clock.Advance(usual * 3 / 4)
		assert.Equal(t, g.State("s").Inflight, 0)
		_, err = g.Accept(request(g, "c"))
		assert.NilError(t, err)
	})
	t.Run("a request beyond the usual time frees its slot", func(t *testing.T) {
		g, clock := answered(t)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		clock.Advance(usual)
		ticket.Abandon()
		_, err = g.Accept(request(g, "b"))
		assert.NilError(t, err)
	})
	t.Run("it may have run", func(t *testing.T) {
		g, _ := answered(t)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		ticket.Abandon()
		state, _ := g.Void(question(life, g.Token()))
		assert.Equal(t, state, admitter.Lost)
	})
	t.Run("leaving waits for none that is abandoned", func(t *testing.T) {
		g, _ := answered(t)
		ticket, err := g.Accept(request(g, "a"))
		assert.NilError(t, err)
		ticket.Abandon()
		select {
		case <-g.Leave():
		default:
			t.Fatal("an abandoned request is waited for")
		}
	})
}
