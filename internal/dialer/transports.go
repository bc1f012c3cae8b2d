package dialer

import (
	"net/http"
	"sync"
)

// maxTransports limits the peers of a Transports. Beyond it, all its transports
// are dropped.
const maxTransports = 4096

// Transports keeps an HTTP/2 transport with pings for each peer, so that the
// connection to one peer can be dropped without the others. The zero value is
// ready to use. Its methods are safe for concurrent use. It does not add
// HeaderSecret to requests.
type Transports struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
}

// Get returns the transport for the peer with the base URL.
func (t *Transports) Get(url string) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tr, ok := t.transports[url]; ok {
		return tr
	}
	if t.transports == nil || len(t.transports) >= maxTransports {
		t.clear()
	}
	tr := newTransport()
	t.transports[url] = tr
	return tr
}

// Drop forgets the transport, if it still is that of the peer, so that the next
// request opens a connection. Requests in flight on it continue until they end or
// a ping fails.
func (t *Transports) Drop(url string, tr *http.Transport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.transports[url] != tr {
		return
	}
	delete(t.transports, url)
	tr.CloseIdleConnections()
}

// Close forgets all transports and closes their idle connections.
func (t *Transports) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
}

func (t *Transports) clear() {
	for _, tr := range t.transports {
		tr.CloseIdleConnections()
	}
	t.transports = map[string]*http.Transport{}
}
