package soaker

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/spawner"
)

// mode is the fault that a proxy injects into its connections.
type mode int

const (
	modeForward mode = iota
	// modeDelay delays each chunk of data in both directions.
	modeDelay
	// modeReset closes all connections, and new ones as soon as they are accepted.
	modeReset
	// modeDropAnswers forwards requests and discards the answers.
	modeDropAnswers
	// modeDropAll discards data in both directions and leaves connections open.
	modeDropAll
)

// chunkDelay is the delay of each chunk in modeDelay, fifty times the latency
// between failure domains.
const chunkDelay = 70 * cowslipbend.Millisecond

// direction is a set of directions through a proxy.
type direction int

const (
	towardsServer direction = 1 << iota
	towardsClient
	bothWays = towardsServer | towardsClient
)

// hold keeps the data of connections, and their ends, and delivers them later. So does a
// partition, after which the kernels send again what was not acknowledged.
type hold struct {
	// client is the address that the client of the connections advertises; empty for all.
	client   string
	ways     direction
	delivery delivery
	released chan struct{}
}

// delivery is when the data of a hold is delivered.
type delivery int

const (
	// deliverAtOnce delivers it as the hold ends.
	deliverAtOnce delivery = iota
	// deliverRetransmitted delivers it when the kernel would send it again: initialBackoff
	// after it was sent, and after twice the time each time after that.
	deliverRetransmitted
	// deliverSpread delivers that of each connection up to maxSpread later.
	deliverSpread
	deliveries
)

const (
	initialBackoff = 200 * time.Millisecond
	maxSpread      = 4 * time.Second
)

// delay returns how long data that was sent so long ago is kept after the hold has ended.
func (d delivery) delay(age time.Duration) time.Duration {
	switch d {
	case deliverRetransmitted:
		sent, backoff := initialBackoff, initialBackoff
		for sent < age {
			backoff *= 2
			sent += backoff
		}
		return sent - age
	case deliverSpread:
		return rand.N(maxSpread)
	}
	return 0
}

// conn is a connection of a client with the one to the target.
type conn struct {
	net.Conn
	// client is the address that the client advertises; empty if its first request
	// doesn't name it.
	client string
	// silent is set once nothing passes any more, and neither end learns of it.
	silent atomic.Bool
}

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	addr       string
	target     string
	rate       int // bytes per second of each connection and direction; 0: no limit
	goroutines spawner.Group
	closing    chan struct{}

	mu    sync.Mutex
	ln    net.Listener
	mode  mode
	conns map[net.Conn]bool
	holds []*hold
	// clients holds the connections of clients. While silent is set, new ones are silent.
	clients map[*conn]bool
	silent  bool
}

func newProxy(addr, target string, rate int) (*proxy, error) {
	p := &proxy{addr: addr, target: target, rate: rate, conns: map[net.Conn]bool{}, clients: map[*conn]bool{}, closing: make(chan struct{})}
	return p, p.listen()
}

// listen accepts connections.
func (p *proxy) listen() error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBusy, err, "choose another --base", "proxy cannot listen on %s", p.addr)
	}
	p.mu.Lock()
	p.ln = ln
	p.mu.Unlock()
	p.goroutines.Go(func() { p.accept(ln) })
	return nil
}

// refuse closes all connections. New ones are refused until listen is called.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
	p.closeConns()
}

// setMode changes the mode. It closes all connections if the new mode is
// modeReset or the old one discarded data.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A stream with data missing in the middle cannot be used any more.
	reset := m == modeReset || p.mode == modeDropAnswers || p.mode == modeDropAll
	p.mode = m
	if reset {
		p.closeConns()
	}
}

// closeConns closes all connections. The caller holds the lock.
func (p *proxy) closeConns() {
	for c := range p.conns {
		_ = c.Close()
	}
}

// reset closes all connections. New ones are forwarded.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConns()
}

// silence leaves all connections open without forwarding anything, also new ones until
// endSilence is called.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	for c := range p.clients {
		c.silent.Store(true)
	}
}

// endSilence forwards new connections again.
func (p *proxy) endSilence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = false
}

// addClient records the connection of a client.
func (p *proxy) addClient(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients[c] = true
	c.silent.Store(p.silent)
}

func (p *proxy) removeClient(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, c)
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// hold holds connections until the returned function is called.
func (p *proxy) hold(client string, ways direction, d delivery) (release func()) {
	h := &hold{client: client, ways: ways, delivery: d, released: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds = append(p.holds, h)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.holds = slices.DeleteFunc(p.holds, func(other *hold) bool { return other == h })
		close(h.released)
	}
}

// holdOf returns a hold of the connection in the direction, or nil.
func (p *proxy) holdOf(c *conn, way direction) *hold {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.holds {
		if h.ways&way != 0 && (h.client == "" || h.client == c.client) {
			return h
		}
	}
	return nil
}

// wait returns once the connection is not held in the direction.
func (p *proxy) wait(c *conn, way direction) {
	readAt := time.Now()
	for h := p.holdOf(c, way); h != nil; h = p.holdOf(c, way) {
		select {
		case <-h.released:
		case <-p.closing:
			return
		}
		time.Sleep(h.delivery.delay(time.Since(readAt)))
	}
}

func (p *proxy) close() {
	p.refuse()
	close(p.closing)
	p.setMode(modeReset)
	p.goroutines.End()
}

func (p *proxy) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if !p.register(c) {
			_ = c.Close()
			continue
		}
		if !p.goroutines.Go(func() { p.serve(c) }) {
			_ = c.Close()
			return
		}
	}
}

// register registers a connection, unless the mode is modeReset.
func (p *proxy) register(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == modeReset {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// advertised finds the address of the sender in reports and orders.
var advertised = regexp.MustCompile(`"(?:url|owner)":"http://([^"]+)"`)

// serve forwards a connection. It connects to the target only when the first request may
// pass, so that a process that has started meanwhile gets it.
func (p *proxy) serve(from net.Conn) {
	defer p.closeConn(from)
	c := &conn{Conn: from}
	p.addClient(c)
	defer p.removeClient(c)
	first := make([]byte, 4<<10)
	n, err := from.Read(first)
	if err != nil {
		return
	}
	if match := advertised.FindSubmatch(first[:n]); match != nil {
		c.client = string(match[1])
	}
	p.wait(c, towardsServer)
	if c.silent.Load() {
		_, _ = io.Copy(io.Discard, from) // Until the client closes it.
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return // The client sees its connection close, as it would without a server.
	}
	if !p.register(to) {
		_ = to.Close()
		return
	}
	defer p.closeConn(to)
	done := make(chan struct{})
	copyAnswers := func() {
		defer close(done)
		p.copy(c, from, to, towardsClient)
	}
	if !p.goroutines.Go(copyAnswers) {
		return
	}
	p.copy(c, to, io.MultiReader(bytes.NewReader(first[:n]), from), towardsServer)
	_ = from.Close()
	_ = to.Close()
	<-done
}

// discards reports whether the mode discards data in the direction.
func (m mode) discards(way direction) bool {
	return m == modeDropAll || (m == modeDropAnswers && way == towardsClient)
}

// copy forwards data of the connection in one direction until one end closes.
func (p *proxy) copy(c *conn, to net.Conn, from io.Reader, way direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.wait(c, way)
		if n > 0 {
			m := p.currentMode()
			if c.silent.Load() || m.discards(way) {
				continue
			}
			if m == modeDelay {
				time.Sleep(chunkDelay.Duration())
			}
			if p.rate > 0 {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(p.rate))
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && (way == towardsServer || !c.silent.Load()) {
				_ = to.Close()
			}
			return
		}
	}
}
