// Package relay is a TCP relay for tests of connections that go silent: the
// open ones swallow all bytes in both directions without closing, while new
// ones work.
package relay

import (
	"errors"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Relay passes connections on to a target.
type Relay struct {
	target string
	ln     net.Listener
	group  errgroup.Group
	done   chan struct{}

	mu    sync.Mutex
	links []*link
	count int
}

// link is one connection with its way onwards.
type link struct {
	near, far net.Conn
	silent    chan struct{}
	once      sync.Once
}

// Listen opens a relay on loopback to the target address.
func Listen(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, ln: ln, done: make(chan struct{})}
	r.group.Go(r.accept)
	return r, nil
}

// URL returns the relay's base URL.
func (r *Relay) URL() string { return "http://" + r.ln.Addr().String() }

// Count returns how many connections have come so far.
func (r *Relay) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Silence makes all connections that are open now swallow their bytes.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.once.Do(func() { close(l.silent) })
	}
}

// Close closes all connections and waits for the relay to stop.
func (r *Relay) Close() {
	close(r.done)
	_ = r.ln.Close()
	r.mu.Lock()
	for _, l := range r.links {
		l.close()
	}
	r.mu.Unlock()
	_ = r.group.Wait()
}

func (r *Relay) accept() error {
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener was closed.
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.join(&link{near: near, far: far, silent: make(chan struct{})})
	}
}

func (r *Relay) join(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	r.links = append(r.links, l)
	r.group.Go(func() error { return l.pass(l.near, l.far) })
	r.group.Go(func() error { return l.pass(l.far, l.near) })
	select {
	case <-r.done:
		l.close()
	default:
	}
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

const passBuffer = 32 << 10 // bytes

// pass copies until one side closes; a silent link reads on and drops what it
// reads, and does not tell one side of the other's end.
func (l *link) pass(from, to net.Conn) error {
	buf := make([]byte, passBuffer)
	for {
		n, err := from.Read(buf)
		select {
		case <-l.silent:
			if err != nil {
				return nil //nolint:nilerr // A silent link hides the end of the other side.
			}
			continue
		default:
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			l.close()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
	}
}
