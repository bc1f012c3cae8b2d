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

// mode is what a proxy does to its connections.
type mode int

const (
	pass mode = iota
	// slow delays each piece of data either way.
	slow
	// cut resets connections and refuses new ones.
	cut
	// deaf passes requests on and swallows the answers.
	deaf
	// silent swallows everything and keeps the connections.
	silent
)

// slowness is the delay of each piece in mode slow: fifty times the way
// between failure domains.
const slowness = 70 * cowslipbend.Millisecond

// proxy passes connections on to a target.
type proxy struct {
	ln         net.Listener
	target     string
	goroutines spawner.Group

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(addr, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBusy, err, "choose another --base", "proxy cannot listen on %s", addr)
	}
	p := &proxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

// set changes what happens to new data, and for cut to all connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Data that was swallowed leaves a stream that never goes on.
	reset := m == cut || p.mode == deaf || p.mode == silent
	p.mode = m
	if reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.set(cut)
	p.goroutines.End()
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if !p.keep(c) {
			_ = c.Close()
			continue
		}
		if !p.goroutines.Go(func() { p.serve(c) }) {
			_ = c.Close()
			return
		}
	}
}

// keep registers a connection unless the proxy is cut.
func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == cut {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) serve(c net.Conn) {
	defer p.drop(c)
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return // The client sees a closed connection, as with a dead server.
	}
	if !p.keep(to) {
		_ = to.Close()
		return
	}
	defer p.drop(to)
	done := make(chan struct{})
	answers := func() {
		defer close(done)
		p.copy(c, to, deaf)
	}
	if !p.goroutines.Go(answers) {
		return
	}
	p.copy(to, c, silent)
	_ = c.Close()
	_ = to.Close()
	<-done
}

// copy passes data on until an end closes; from the mode given on, and in mode
// silent, it is swallowed.
func (p *proxy) copy(to, from net.Conn, swallows mode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch p.current() {
			case silent, swallows:
				continue
			case slow:
				time.Sleep(slowness.Duration())
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
