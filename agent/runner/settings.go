package runner

import (
	"net/url"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/throttler"
)

// Settings are all that an agent is told.
type Settings struct {
	ID     cowslipbend.WorkerID
	Pool   cowslipbend.PoolID
	Domain cowslipbend.Domain
	Rack   cowslipbend.Rack
	// Listen serves entries, Local the endpoints of this host.
	Listen string
	Local  string
	// Worker is the URL of the platform's worker on this host.
	Worker string
	// Entries are URLs to start from; replies bring the others.
	Entries []string
	Secret  string
	Log     string
	Beat    cowslipbend.Span
	Poll    cowslipbend.Span
	// Drain is how long requests in flight may go on after SIGTERM.
	Drain cowslipbend.Span
	// Wrap lets tests and the stand play faults of the network.
	Wrap server.ListenerWrapper
	// Guard is how services are defended against batch.
	Guard throttler.Mode
}

// Defaults returns the settings of a usual agent.
func Defaults() Settings {
	return Settings{
		Listen: "127.0.0.1:7100", Local: "127.0.0.1:7101", Worker: "http://127.0.0.1:7102",
		Entries: []string{"http://127.0.0.1:7001"}, Log: "info",
		Beat: cowslipbend.Second, Poll: cowslipbend.Second / 4, Drain: cowslipbend.Minute,
		Guard: throttler.Throttle,
	}
}

// Check returns all faults at once.
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
	if s.Beat < 100*cowslipbend.Millisecond || s.Beat > 10*cowslipbend.Second {
		l.Add(cowslipbend.Invalid("--beat", s.Beat.String()+" is out of bounds", "give 100ms to 10s"))
	}
	if s.Poll < 10*cowslipbend.Millisecond || s.Poll > 10*cowslipbend.Second {
		l.Add(cowslipbend.Invalid("--poll", s.Poll.String()+" is out of bounds", "give 10ms to 10s"))
	}
	guard := throttler.Options{Mode: s.Guard}
	l.Add(guard.Check("--guard"))
	if s.Drain < 0 {
		l.Add(cowslipbend.Invalid("--drain", "is below zero", "give a time such as 60s"))
	}
	return l.Err()
}

func checkURL(path, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return cowslipbend.Invalid(path, text+" is no URL", "give http://IP:PORT")
	}
	return nil
}
