// Package server runs the HTTP servers of a process: HTTP/1.1 and unencrypted
// HTTP/2 with pings on one listener, the endpoints for readiness, liveness and
// metrics, the check of the shared secret, and errors in JSON.
package server

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/dialer"
)

// Timeouts and limits of a server.
const (
	headerTimeout = 5 * time.Second
	pingInterval  = 10 * time.Second
	pingTimeout   = 5 * time.Second
	maxHeaderSize = 32 << 10 // bytes, unless the bounds say less
	maxStreams    = 1000     // of one HTTP/2 connection
)

// Server is an HTTP server on one listener.
type Server struct {
	http *http.Server
	ln   net.Listener
	done chan struct{}
}

// Listen listens on the address. It returns KindInvalid if it cannot. Requests
// are served once Run is called.
func Listen(addr string, h http.Handler) (*Server, error) {
	return Open(Address{Addr: addr, Handler: h})
}

// Address is an address with the handler to serve on it. It is skipped if Addr is
// empty.
type Address struct {
	Addr    string
	Handler http.Handler
	// Bounds bounds the peers of the address; it may be nil.
	Bounds *bounder.Bounder
	// Wrap wraps the listener; it may be nil.
	Wrap ListenerWrapper
}

// Open listens on the address, like Listen.
func Open(a Address) (*Server, error) {
	config := net.ListenConfig{}
	if a.Bounds != nil {
		config.Control = a.Bounds.LimitBuffers
	}
	ln, err := config.Listen(context.Background(), "tcp", a.Addr)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a free IP:PORT of this host", "cannot listen on %q", a.Addr)
	}
	if a.Wrap != nil {
		ln = a.Wrap(ln)
	}
	s := Serve(ln, a.Handler)
	if a.Bounds != nil {
		s.bound(a.Bounds)
	}
	return s, nil
}

// bound bounds the peers of the server.
func (s *Server) bound(b *bounder.Bounder) {
	s.ln = b.Listener(s.ln)
	s.http.Handler = b.Handler(s.http.Handler)
	s.http.ConnState, s.http.ConnContext = b.ConnState, b.ConnContext
	limits := b.Limits()
	s.http.WriteTimeout = limits.ReplyTime.Duration()
	if limits.Header > 0 {
		s.http.MaxHeaderBytes = int(limits.Header)
	}
	s.http.Protocols.SetUnencryptedHTTP2(!limits.HTTP1)
}

// ListenAll listens on the addresses in their order. If one fails, it closes the
// others and returns the error.
func ListenAll(addresses ...Address) ([]*Server, error) {
	var all []*Server
	for _, a := range addresses {
		if a.Addr == "" {
			continue
		}
		s, err := Open(a)
		if err != nil {
			for _, s := range all {
				s.Close()
			}
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// ListenerWrapper returns a listener that wraps another one.
type ListenerWrapper func(net.Listener) net.Listener

// Serve returns a server for an open listener. Requests are served once Run is
// called.
func Serve(ln net.Listener, h http.Handler) *Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		Protocols:         new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingInterval,
			PingTimeout:          pingTimeout,
		},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return &Server{http: s, ln: ln, done: make(chan struct{})}
}

// URL returns the base URL of the listener.
func (s *Server) URL() string { return "http://" + s.ln.Addr().String() }

// Run serves requests until Shutdown or Close is called, and returns nil then.
func (s *Server) Run() error {
	defer close(s.done)
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return cowslipbend.Failf(cowslipbend.KindBroken, err, "check the host's network", "server can no longer accept connections")
}

// Done returns a channel that is closed when Run returns.
func (s *Server) Done() <-chan struct{} { return s.done }

// Shutdown stops accepting connections and waits for the requests in flight until
// the context ends, then closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}

// Close closes the listener and all connections at once, as a crash would.
func (s *Server) Close() { _ = s.http.Close() }

// HandleOps adds the operators' endpoints /livez, /readyz and /metrics to the mux.
// The function ready returns why the process is not ready, or nil.
func HandleOps(mux *http.ServeMux, reg *prometheus.Registry, ready func() error) {
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			WriteError(w, cowslipbend.AsError(err))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// Guard refuses requests without the secret in dialer.HeaderSecret. If the secret
// is empty, it refuses none, and CheckBind allows loopback addresses only.
func Guard(secret string, next http.Handler) http.Handler {
	if secret == "" {
		return next
	}
	wantSecret := []byte(secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gotSecret := []byte(r.Header.Get(dialer.HeaderSecret))
		if subtle.ConstantTimeCompare(gotSecret, wantSecret) != 1 {
			WriteError(w, cowslipbend.Fail(cowslipbend.KindDenied, "wrong or missing secret", "set --secret to the one of the system"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CheckBind returns KindInvalid if addr is not IP:PORT, or is not a loopback
// address while there is no secret. The path names the setting.
func CheckBind(path, addr, secret string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return cowslipbend.Invalid(path, addr+" is not an address", "give IP:PORT, such as 127.0.0.1:7000")
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return cowslipbend.Invalid(path, host+" is not an IP address", "give IP:PORT, such as 127.0.0.1:7000")
	}
	if secret == "" && !ip.IsLoopback() {
		return cowslipbend.Invalid(path, addr+" is not a loopback address and there is no secret", "set --secret, or bind to 127.0.0.1")
	}
	return nil
}

// CombineErrors combines a list of errors into one with all their messages and
// remedies and the kind of the first. Any other error is returned as an *Error.
func CombineErrors(err error) *cowslipbend.Error {
	list, ok := errors.AsType[cowslipbend.Errors](err)
	if !ok || len(list) < 2 {
		return cowslipbend.AsError(err)
	}
	messages, remedies := make([]string, len(list)), make([]string, len(list))
	for i, e := range list {
		messages[i] = strings.TrimPrefix(e.Path+": "+e.What, ": ")
		remedies[i] = e.Remedy
	}
	return cowslipbend.Fail(list[0].Kind, strings.Join(messages, "; "), strings.Join(remedies, "; "))
}

// WriteError replies with the error as JSON and the status of its kind.
func WriteError(w http.ResponseWriter, e *cowslipbend.Error) {
	w.Header().Set("Content-Type", "application/json")
	if e.After > 0 {
		w.Header().Set("Retry-After", retryAfter(e.After))
	}
	w.WriteHeader(Status(e.Kind))
	_ = json.NewEncoder(w).Encode(e)
}

// ReadError decodes the body of a reply that WriteError has written. For any other
// body it returns KindBroken with the name of the sender and the status.
func ReadError(sender, status string, body []byte) *cowslipbend.Error {
	var e cowslipbend.Error
	if json.Unmarshal(body, &e) == nil && e.Kind != "" {
		return &e
	}
	return cowslipbend.Fail(cowslipbend.KindBroken, sender+" sent no valid error with status "+status, "check the "+sender+"'s log")
}
