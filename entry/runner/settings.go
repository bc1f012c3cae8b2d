package runner

import (
	"net/url"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/router"
)

// Settings are the settings of an entry.
type Settings struct {
	ID     cowslipbend.EntryID
	Domain cowslipbend.Domain
	// Listen is the IP:PORT that serves callers, operators, agents and other
	// entries.
	Listen string
	// Store is the URL of the platform's table and objects.
	Store string
	// Peers are URLs of other entries. They are needed only for a start while
	// the store is unavailable.
	Peers   []string
	Secret  string
	Log     string
	Routing string
	// RetryPercent is the percentage of requests that may be retried after an
	// attempt that may have run.
	RetryPercent int
	// LeaseLength and LeaseCap are the Length and Cap of leaser.Terms.
	LeaseLength cowslipbend.Span
	LeaseCap    cowslipbend.Span
	// BalancerDelay is how long the load balancer may still send callers after
	// SIGTERM. DrainTimeout is how long requests in flight may take after that.
	BalancerDelay cowslipbend.Span
	DrainTimeout  cowslipbend.Span
	// MaxConns is how many connections each listener has at a time, and MaxBodies the memory that
	// the bodies of requests to it may take in all. Zero means no limit.
	MaxConns  int
	MaxBodies cowslipbend.Bytes
	// Wrap wraps the listener, so that tests and the stand can inject network
	// faults.
	Wrap server.ListenerWrapper
}

// Defaults returns the default settings of an entry, without id and domain.
func Defaults() Settings {
	terms := leaser.Defaults()
	return Settings{
		Listen: "127.0.0.1:7001", Store: "http://127.0.0.1:7000", Log: "info", Routing: "adaptive", RetryPercent: router.Defaults().RetryPercent,
		LeaseLength: terms.Length, LeaseCap: terms.Cap, BalancerDelay: 2 * cowslipbend.Second, DrainTimeout: cowslipbend.Minute,
		MaxConns: bounder.DefaultConns, MaxBodies: bounder.DefaultBodies,
	}
}

// Check returns all faults of the settings at once.
func (s *Settings) Check() error {
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName("--id", string(s.ID)))
	l.Add(cowslipbend.CheckName("--domain", string(s.Domain)))
	l.Add(server.CheckBind("--listen", s.Listen, s.Secret))
	if u, err := url.Parse(s.Store); err != nil || u.Scheme != "http" || u.Host == "" {
		l.Add(cowslipbend.Invalid("--store", s.Store+" is not an http URL", "give the platform's http://IP:PORT"))
	}
	l.Add(s.checkPeers())
	if _, err := router.Policy(s.Routing); err != nil {
		l.Add(err)
	}
	if s.RetryPercent < 0 || s.RetryPercent > 100 {
		l.Add(cowslipbend.Invalid("--retries", "is out of bounds", "give 0 to 100 percent"))
	}
	if s.LeaseLength < cowslipbend.Second || s.LeaseLength > cowslipbend.Minute {
		l.Add(cowslipbend.Invalid("--lease", s.LeaseLength.String()+" is out of bounds", "give 1s to 1m"))
	}
	if s.LeaseCap < s.LeaseLength {
		l.Add(cowslipbend.Invalid("--cap", s.LeaseCap.String()+" is less than the lease", "give at least --lease"))
	}
	if s.BalancerDelay < 0 || s.DrainTimeout < 0 {
		l.Add(cowslipbend.Invalid("--delay and --drain", "must not be negative", "give times such as 2s and 60s"))
	}
	l.Add(bounder.Check(s.MaxConns, s.MaxBodies))
	return l.Err()
}

func (s *Settings) checkPeers() error {
	var l cowslipbend.Errors
	for _, p := range s.Peers {
		if u, err := url.Parse(p); err != nil || u.Scheme != "http" || u.Host == "" {
			l.Add(cowslipbend.Invalid("--peer", p+" is not an http URL", "give another entry's http://IP:PORT"))
		}
	}
	return l.Err()
}
