package runner

import (
	"net/url"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/throttler"
)

// Settings are the settings of an agent.
type Settings struct {
	ID     cowslipbend.WorkerID
	Pool   cowslipbend.PoolID
	Domain cowslipbend.Domain
	Rack   cowslipbend.Rack
	// Listen is the IP:PORT for entries, Local the one for the endpoints of this
	// host.
	Listen string
	Local  string
	// Worker is the URL of the platform's worker on this host.
	Worker string
	// Entries are URLs of some entries. The agent learns of the others from their
	// replies.
	Entries           []string
	Secret            string
	Log               string
	HeartbeatInterval cowslipbend.Span
	PollInterval      cowslipbend.Span
	// DrainTimeout is how long requests in flight may continue after SIGTERM.
	DrainTimeout cowslipbend.Span
	// MaxConns is how many connections each listener has at a time, and MaxBodies the memory that
	// the bodies of requests to it may take in all. Zero means no limit.
	MaxConns  int
	MaxBodies cowslipbend.Bytes
	// Wrap wraps the listener for entries, so that tests and the stand can inject
	// network faults. It may be nil.
	Wrap server.ListenerWrapper
	// Guard is how services are protected from batch tasks.
	Guard throttler.Mode
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Listen: "127.0.0.1:7100", Local: "127.0.0.1:7101", Worker: "http://127.0.0.1:7102",
		Entries: []string{"http://127.0.0.1:7001"}, Log: "info",
		HeartbeatInterval: cowslipbend.Second, PollInterval: cowslipbend.Second / 4, DrainTimeout: cowslipbend.Minute,
		Guard: throttler.Throttle, MaxConns: bounder.DefaultConns, MaxBodies: bounder.DefaultBodies,
	}
}

// Check validates the settings and reports all faults at once.
func (s *Settings) Check() error {
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName("--id", string(s.ID)))
	l.Add(cowslipbend.CheckName("--pool", string(s.Pool)))
	l.Add(cowslipbend.CheckName("--domain", string(s.Domain)))
	l.Add(cowslipbend.CheckName("--rack", string(s.Rack)))
	l.Add(server.CheckBind("--listen", s.Listen, s.Secret))
	l.Add(server.CheckBind("--local", s.Local, ""))
	l.Add(checkURL("--worker", s.Worker))
	if len(s.Entries) == 0 {
		l.Add(cowslipbend.Invalid("--entry", "is missing", "give the URL of at least one entry"))
	}
	for _, u := range s.Entries {
		l.Add(checkURL("--entry", u))
	}
	if s.HeartbeatInterval < 100*cowslipbend.Millisecond || s.HeartbeatInterval > 10*cowslipbend.Second {
		l.Add(cowslipbend.Invalid("--beat", s.HeartbeatInterval.String()+" is out of bounds", "give 100ms to 10s"))
	}
	if s.PollInterval < 10*cowslipbend.Millisecond || s.PollInterval > 10*cowslipbend.Second {
		l.Add(cowslipbend.Invalid("--poll", s.PollInterval.String()+" is out of bounds", "give 10ms to 10s"))
	}
	guard := throttler.Options{Mode: s.Guard}
	l.Add(guard.Check("--guard"))
	if s.DrainTimeout < 0 {
		l.Add(cowslipbend.Invalid("--drain", "is negative", "give a time such as 60s"))
	}
	l.Add(bounder.Check(s.MaxConns, s.MaxBodies))
	return l.Err()
}

func checkURL(path, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return cowslipbend.Invalid(path, text+" is not an http URL", "give http://IP:PORT")
	}
	return nil
}
