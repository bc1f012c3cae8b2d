// Package relay is a TCP relay for tests of dead connections. Silence makes the open
// connections drop all bytes in both directions without being closed, as after a
// network failure, while new connections work.
package relay

import (
	"errors"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Relay forwards connections to a target.
type Relay struct {
	target string
	ln     net.Listener
	group  errgroup.Group
	done   chan struct{}

	mu        sync.Mutex
	pairs     []*connPair
	connCount int
}

// connPair is a client's connection and the one to the target that it is
// forwarded to.
type connPair struct {
	client, target net.Conn
	silenced       chan struct{} // closed by Silence
	silenceOnce    sync.Once
}

// Listen starts a relay from a loopback address to the target address.
func Listen(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, ln: ln, done: make(chan struct{})}
	r.group.Go(r.accept)
	return r, nil
}

// URL returns the base URL of the relay.
func (r *Relay) URL() string { return "http://" + r.ln.Addr().String() }

// ConnCount returns how many connections were accepted so far.
func (r *Relay) ConnCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connCount
}

// Silence makes the connections that are open now drop all bytes. It does not affect
// later ones.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.silenceOnce.Do(func() { close(p.silenced) })
	}
}

// Close closes all connections and waits for the relay to stop.
func (r *Relay) Close() {
	close(r.done)
	_ = r.ln.Close()
	r.mu.Lock()
	for _, p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	_ = r.group.Wait()
}

func (r *Relay) accept() error {
	for {
		client, err := r.ln.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener was closed.
		}
		target, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.addPair(&connPair{client: client, target: target, silenced: make(chan struct{})})
	}
}

func (r *Relay) addPair(p *connPair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connCount++
	r.pairs = append(r.pairs, p)
	r.group.Go(func() error { return p.copyBytes(p.client, p.target) })
	r.group.Go(func() error { return p.copyBytes(p.target, p.client) })
	select {
	case <-r.done:
		p.close()
	default:
	}
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.target.Close()
}

const copyBufferSize = 32 << 10 // bytes

// copyBytes copies from one connection to the other until one of them closes, and
// closes both. Once silenced, it drops what it reads, and leaves the other
// connection open when one closes.
func (p *connPair) copyBytes(from, to net.Conn) error {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		select {
		case <-p.silenced:
			if err != nil {
				return nil //nolint:nilerr // A silenced pair hides that one side has closed.
			}
			continue
		default:
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			p.close()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
	}
}
