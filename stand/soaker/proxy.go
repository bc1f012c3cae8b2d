package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
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

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	ln         net.Listener
	target     string
	rate       int // bytes per second of each connection and direction; 0: no limit
	goroutines spawner.Group

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(addr, target string, rate int) (*proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBusy, err, "choose another --base", "proxy cannot listen on %s", addr)
	}
	p := &proxy{ln: ln, target: target, rate: rate, conns: map[net.Conn]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
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
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.setMode(modeReset)
	p.goroutines.End()
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
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

func (p *proxy) serve(c net.Conn) {
	defer p.closeConn(c)
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
		p.copy(c, to, modeDropAnswers)
	}
	if !p.goroutines.Go(copyAnswers) {
		return
	}
	p.copy(to, c, modeDropAll)
	_ = c.Close()
	_ = to.Close()
	<-done
}

// copy forwards data until one end closes. It discards data in modeDropAll
// and in dropMode.
func (p *proxy) copy(to, from net.Conn, dropMode mode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch p.currentMode() {
			case modeDropAll, dropMode:
				continue
			case modeDelay:
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
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			return
		}
	}
}
