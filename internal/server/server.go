// Package server runs the HTTP side of a process: HTTP/1.1 and unencrypted
// HTTP/2 with pings on one listener, the pages for readiness, liveness and
// metrics, and the check of the shared secret.
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
	"cowslipbend.dev/internal/dialer"
)

// Bounds of a server.
const (
	headerTimeout = 5 * time.Second
	pingIdle      = 10 * time.Second
	pingTimeout   = 5 * time.Second
	maxHeader     = 32 << 10 // bytes
	maxStreams    = 1000     // of one HTTP/2 connection
)

// Server is an HTTP server on one listener.
type Server struct {
	http *http.Server
	ln   net.Listener
	done chan struct{}
}

// Listen opens the address. It returns KindInvalid if it cannot.
func Listen(addr string, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a free IP:PORT of this host", "cannot listen on %q", addr)
	}
	return Serve(ln, h), nil
}

// Address is where a handler listens. An empty one is not served.
type Address struct {
	Addr    string
	Handler http.Handler
}

// ListenAll opens the addresses in their order, or closes all if one fails.
func ListenAll(addresses ...Address) ([]*Server, error) {
	var all []*Server
	for _, a := range addresses {
		if a.Addr == "" {
			continue
		}
		s, err := Listen(a.Addr, a.Handler)
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

// Wrap puts something around a listener; nil leaves it as it is.
type Wrap func(net.Listener) net.Listener

// ListenWrapped is Listen with something around the listener.
func ListenWrapped(addr string, wrap Wrap, h http.Handler) (*Server, error) {
	s, err := Listen(addr, h)
	if err == nil && wrap != nil {
		s.ln = wrap(s.ln)
	}
	return s, err
}

// Serve returns a server on an open listener.
func Serve(ln net.Listener, h http.Handler) *Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		Protocols:         new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingIdle,
			PingTimeout:          pingTimeout,
		},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return &Server{http: s, ln: ln, done: make(chan struct{})}
}

// URL returns the base URL of the listener.
func (s *Server) URL() string { return "http://" + s.ln.Addr().String() }

// Run serves until Shutdown or Close. It returns nil then.
func (s *Server) Run() error {
	defer close(s.done)
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return cowslipbend.Failf(cowslipbend.KindBroken, err, "look at the host's network", "server stopped")
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Shutdown waits for the requests in flight until the context ends, then
// closes the rest.
func (s *Server) Shutdown(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}

// Close drops the listener and all connections, as a crash would.
func (s *Server) Close() { _ = s.http.Close() }

// Ops adds /livez, /readyz and /metrics to the mux. Ready returns why the
// process is not ready, or nil.
func Ops(mux *http.ServeMux, reg *prometheus.Registry, ready func() error) {
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

// Guard lets only calls with the secret through. An empty secret lets all
// through; settings then bind to loopback only.
func Guard(secret string, next http.Handler) http.Handler {
	if secret == "" {
		return next
	}
	want := []byte(secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		have := []byte(r.Header.Get(dialer.HeaderSecret))
		if subtle.ConstantTimeCompare(have, want) != 1 {
			WriteError(w, cowslipbend.Fail(cowslipbend.KindDenied, "wrong or missing secret", "set --secret to the one of the system"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CheckBind returns KindInvalid for an address other than loopback without a
// secret.
func CheckBind(path, addr, secret string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return cowslipbend.Invalid(path, addr+" is no address", "give IP:PORT, such as 127.0.0.1:7000")
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return cowslipbend.Invalid(path, host+" is no IP number", "give IP:PORT, such as 127.0.0.1:7000")
	}
	if secret == "" && !ip.IsLoopback() {
		return cowslipbend.Invalid(path, addr+" is not loopback and there is no secret", "set --secret, or bind to 127.0.0.1")
	}
	return nil
}

// Join returns one error that tells all faults of a list, with the kind of the
// first.
func Join(err error) *cowslipbend.Error {
	list, ok := errors.AsType[cowslipbend.Errors](err)
	if !ok || len(list) < 2 {
		return cowslipbend.AsError(err)
	}
	whats, remedies := make([]string, len(list)), make([]string, len(list))
	for i, e := range list {
		whats[i] = strings.TrimPrefix(e.Path+": "+e.What, ": ")
		remedies[i] = e.Remedy
	}
	return cowslipbend.Fail(list[0].Kind, strings.Join(whats, "; "), strings.Join(remedies, "; "))
}

// WriteError answers with the error as JSON and the status of its kind.
func WriteError(w http.ResponseWriter, e *cowslipbend.Error) {
	w.Header().Set("Content-Type", "application/json")
	if e.After > 0 {
		w.Header().Set("Retry-After", retryAfter(e.After))
	}
	w.WriteHeader(Status(e.Kind))
	_ = json.NewEncoder(w).Encode(e)
}

// ReadError returns the error that WriteError has put into an answer's body.
// Any other body is told as broken, with the name of who answered.
func ReadError(who, status string, body []byte) *cowslipbend.Error {
	var e cowslipbend.Error
	if json.Unmarshal(body, &e) == nil && e.Kind != "" {
		return &e
	}
	return cowslipbend.Fail(cowslipbend.KindBroken, who+" answered "+status, "look at the "+who+"'s log")
}
