package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/timer"
)

// waitTimeout bounds each wait for a condition.
const waitTimeout = 30 * time.Second

// bounded is a server that returns the size of each body once release is closed.
type bounded struct {
	t       *testing.T
	addr    string
	bounds  *bounder.Bounder
	release chan struct{}
}

func newBounded(t *testing.T, l bounder.Limits) *bounded {
	t.Helper()
	s := &bounded{t: t, bounds: bounder.New(l, timer.Host{}, hclog.NewNullLogger()), release: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if refusal := bounder.Refusal(err); refusal != nil {
			server.WriteError(w, refusal)
			return
		}
		if err != nil {
			return
		}
		if refusal := bounder.Reserve(r.Body, data, 0); refusal != nil {
			server.WriteError(w, refusal)
			return
		}
		<-s.release
		_, _ = fmt.Fprint(w, len(data))
	})
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") })
	srv, err := server.Open(server.Address{Addr: "127.0.0.1:0", Handler: mux, Bounds: s.bounds})
	assert.NilError(t, err)
	s.addr = strings.TrimPrefix(srv.URL(), "http://")
	var g errgroup.Group
	g.Go(srv.Run)
	t.Cleanup(func() {
		srv.Close()
		assert.NilError(t, g.Wait())
	})
	return s
}

// send opens a connection and sends the text.
func (s *bounded) send(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(c, text)
	assert.NilError(s.t, err)
	return c
}

// post sends a request that announces size bytes, and the body.
func (s *bounded) post(size int, body string) net.Conn {
	s.t.Helper()
	return s.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, body))
}

// waitFor waits until the bounder has so many connections and so much memory is held.
func (s *bounded) waitFor(conns int, held cowslipbend.Bytes) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if gotConns, gotHeld := s.bounds.Conns(), s.bounds.Held(); gotConns != conns || gotHeld != held {
			return poll.Continue("%d connections hold %d, not %d and %d", gotConns, gotHeld, conns, held)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
}

// waitForReply waits until a request on a new connection is served.
func (s *bounded) waitForReply() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		resp, err := http.ReadResponse(bufio.NewReader(s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), nil)
		if err != nil {
			return poll.Continue("%s", err)
		}
		_ = resp.Body.Close()
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
}

// assertReply reads a reply with the status, and returns its body.
func assertReply(t *testing.T, c net.Conn, status int) string {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status)
	return string(body)
}

func assertClosed(t *testing.T, c net.Conn) {
	t.Helper()
	n, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "read %d bytes", n)
}

const kb = cowslipbend.KB

// TestBodiesShareTheirMemory guards against bodies that hold memory for as long as they like.
func TestBodiesShareTheirMemory(t *testing.T) {
	text := strings.Repeat("x", 10<<10)
	t.Run("the body that has arrived for the longest time makes room", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{Bodies: 100 * kb})
		close(s.release)
		first := s.post(20<<10, text)
		s.waitFor(1, 40*kb)
		second := s.post(20<<10, text)
		s.waitFor(2, 80*kb)
		third := s.post(20<<10, text)
		assert.Assert(t, strings.Contains(assertReply(t, first, http.StatusServiceUnavailable), "request has not run"))
		assertClosed(t, first)
		_, err := io.WriteString(third, text)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(assertReply(t, second, http.StatusServiceUnavailable), "request has not run"))
		assert.Equal(t, assertReply(t, third, http.StatusOK), "20480")
		s.waitFor(1, 0)
	})
	t.Run("a body that is handled keeps its memory", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{Bodies: 60 * kb})
		handled := s.post(len(text), text)
		s.waitFor(1, 40*kb+256)
		assertReply(t, s.post(len(text), text), http.StatusServiceUnavailable)
		close(s.release)
		assert.Equal(t, assertReply(t, handled, http.StatusOK), "10240")
	})
	t.Run("a body that is alone needs no room", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{Bodies: kb})
		close(s.release)
		assert.Equal(t, assertReply(t, s.post(len(text), text), http.StatusOK), "10240")
	})
	t.Run("what a body is decoded into counts", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{Bodies: 100 * kb})
		handled := s.post(1, "x")
		s.waitFor(1, 4+256)
		lists := strings.Repeat("[],", 300)
		assertReply(t, s.post(len(lists), lists), http.StatusServiceUnavailable)
		quoted := `"` + lists + `"`
		close(s.release)
		assert.Equal(t, assertReply(t, s.post(len(quoted), quoted), http.StatusOK), "902")
		assert.Equal(t, assertReply(t, handled, http.StatusOK), "1")
	})
	t.Run("a body that does not arrive in time is refused", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{BodyTime: cowslipbend.Millisecond})
		assert.Assert(t, strings.Contains(assertReply(t, s.post(20<<10, text), http.StatusServiceUnavailable), "did not arrive in time"))
	})
}

// TestConnectionsAreBounded guards against peers that use up the descriptors.
func TestConnectionsAreBounded(t *testing.T) {
	t.Run("the connection that has waited for the longest time is closed", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{Conns: 2})
		first, second := s.send(""), s.send("")
		s.waitFor(2, 0)
		third := s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.Equal(t, assertReply(t, third, http.StatusOK), "ok")
		assertClosed(t, first)
		s.waitFor(2, 0)
		_, err := io.WriteString(second, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, assertReply(t, second, http.StatusOK), "ok")
	})
	t.Run("a request that is handled keeps its connection", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{Conns: 1})
		handled := s.post(1, "x")
		s.waitFor(1, 4+256)
		assertClosed(t, s.send(""))
		close(s.release)
		assert.Equal(t, assertReply(t, handled, http.StatusOK), "1")
	})
	t.Run("a connection whose body does not arrive waits", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{Conns: 1})
		arriving := s.post(2, "x")
		s.waitFor(1, 4)
		s.waitForReply()
		assertClosed(t, arriving)
		s.waitFor(1, 0)
	})
	t.Run("a body that no handler reads does not keep its connection", func(t *testing.T) {
		s := newBounded(t, bounder.Limits{Conns: 1})
		unread := s.send("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
		s.waitFor(1, 0)
		s.waitForReply()
		assertClosed(t, unread)
	})
}
