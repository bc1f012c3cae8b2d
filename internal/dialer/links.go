package dialer

import (
	"net/http"
	"sync"
)

// maxLinks bounds the peers of one Links.
const maxLinks = 4096

// Links keeps one pinged HTTP/2 transport for each peer, so that the
// connection to one of them can be given up alone. The zero value is ready;
// it is safe for concurrent use. Requests carry the secret themselves.
type Links struct {
	mu    sync.Mutex
	peers map[string]*http.Transport
}

// Get returns the transport of the peer with the base URL.
func (l *Links) Get(url string) *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tr, ok := l.peers[url]; ok {
		return tr
	}
	if l.peers == nil || len(l.peers) >= maxLinks {
		l.clear()
	}
	tr := transport()
	l.peers[url] = tr
	return tr
}

// Drop gives up the transport, if it still is the peer's: the next request
// dials. Streams that are open on it go on until they end or a ping fails.
func (l *Links) Drop(url string, tr *http.Transport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[url] != tr {
		return
	}
	delete(l.peers, url)
	tr.CloseIdleConnections()
}

// Close drops all idle connections.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clear()
}

func (l *Links) clear() {
	for _, tr := range l.peers {
		tr.CloseIdleConnections()
	}
	l.peers = map[string]*http.Transport{}
}
