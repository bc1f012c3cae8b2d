package crowder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"syscall"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/stand/hostrunner"
	"cowslipbend.dev/stand/launcher"
	"cowslipbend.dev/stand/metastore"
	"cowslipbend.dev/timer"
)

// Limits are those of the machine of a process.
type Limits struct {
	MemoryMB int
	// Descriptors is the number of open descriptors, of which ReservedDescriptors are for
	// files; sockets and pipes share the others.
	Descriptors int
}

// ReservedDescriptors is the number of descriptors that are reserved for files.
const ReservedDescriptors = 200

// Memory returns the memory of the machine.
func (l *Limits) Memory() cowslipbend.Bytes { return cowslipbend.Bytes(l.MemoryMB) * cowslipbend.MB }

// Options configure a testbed.
type Options struct {
	// Bin is the directory of the programs entry and agent, Dir the one for settings and logs
	// of the processes.
	Bin, Dir string
	// Network is the second byte of all loopback addresses, 1 to 254, Number the last one.
	Network, Number int
	Entry, Agent    Limits
}

// MaxBody is the largest body of a job that the operator's rules allow.
const MaxBody = 256 << 10

// rules are the operator's rules.
var rules = fmt.Sprintf(`{"version":1,"routes":[{"name":"q0","host":%q,"path_prefix":%q,"service":%q,"target_latency_ms":250,"max_attempts":5,"stretch":1.5}],`+
	`"services":[{"name":%q,"rejects_overload":true}],"limits":{"max_body_bytes":%d}}`, host, route, service, service, MaxBody)

const (
	host    = "jobs.example"
	route   = "/run/"
	service = "ledger"
	domain  = "z0"
)

// Ports of the addresses.
const (
	portInternal = 23000 + iota
	portFront
	portReadiness
	portControl
	portRunner
	portStore
)

// Third byte of the addresses of the machines.
const (
	netStore = iota
	netEntry
	netAgent
)

// Timing of the runner.
const (
	maxLease          = 6 * cowslipbend.Second
	taskDuration      = 100 * cowslipbend.Millisecond
	heartbeatInterval = 1100 * cowslipbend.Millisecond
	leaseInterval     = 20 * cowslipbend.Millisecond // between checks for ended runs
)

// Testbed holds the stand-ins of the platform, an entry and an agent.
type Testbed struct {
	Pool         *hostrunner.Pool
	Entry, Agent *launcher.Process
	opts         Options
	store        *metastore.Store
	servers      []*server.Server
	group        errgroup.Group
	stop         context.CancelFunc
}

// Start starts the stand-ins, the entry and the agent. On an error it returns what it has
// started.
func Start(ctx context.Context, o Options) (*Testbed, error) {
	ctx, stop := context.WithCancel(ctx)
	b := &Testbed{Pool: hostrunner.NewPool(), opts: o, store: metastore.New(), stop: stop}
	if _, err := b.store.Table().Commit(ctx, cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: "op/config", Value: []byte(rules)}}}); err != nil {
		return b, err
	}
	if err := b.serve(b.address(netStore, portStore), b.store.Handler()); err != nil {
		return b, err
	}
	if err := b.startRunner(ctx); err != nil {
		return b, err
	}
	var err error
	b.Entry, err = b.startProcess("entry", netEntry, o.Entry,
		"listen.front="+b.EntryFront(), "listen.readiness="+b.EntryReadiness(), "listen.control="+b.EntryControl())
	if err != nil {
		return b, err
	}
	b.Agent, err = b.startProcess("agent", netAgent, o.Agent, "listen.control="+b.AgentControl(), "app="+b.address(netAgent, portRunner))
	return b, err
}

func (b *Testbed) address(network, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.opts.Network, network, b.opts.Number, port)
}

// EntryFront returns the address at which the entry serves callers.
func (b *Testbed) EntryFront() string { return b.address(netEntry, portFront) }

// EntryReadiness returns the address at which the entry serves readiness checks.
func (b *Testbed) EntryReadiness() string { return b.address(netEntry, portReadiness) }

// EntryControl returns the address at which the entry serves runners.
func (b *Testbed) EntryControl() string { return b.address(netEntry, portControl) }

// EntryInternal returns the address at which the entry serves other processes.
func (b *Testbed) EntryInternal() string { return b.address(netEntry, portInternal) }

// AgentControl returns the address at which the agent serves its runner.
func (b *Testbed) AgentControl() string { return b.address(netAgent, portControl) }

// AgentInternal returns the address at which the agent serves other processes.
func (b *Testbed) AgentInternal() string { return b.address(netAgent, portInternal) }

// serve runs a handler until the testbed is closed.
func (b *Testbed) serve(addr string, h http.Handler) error {
	s, err := server.Listen(addr, h)
	if err != nil {
		return err
	}
	b.servers = append(b.servers, s)
	b.group.Go(s.Run)
	return nil
}

// startRunner starts the runner of the agent, which sends heartbeats until the context ends.
func (b *Testbed) startRunner(ctx context.Context) error {
	addr := b.address(netAgent, portRunner)
	runner := hostrunner.New(b.Pool, "i-0", taskDuration)
	runner.SetAddress(addr)
	runner.SetDomain(domain)
	runner.StartClock()
	runner.SetMaxLease(maxLease)
	if err := b.serve(addr, runner.Handler()); err != nil {
		return err
	}
	b.group.Go(func() error {
		return timer.Every(ctx, timer.Host{}, heartbeatInterval, func(context.Context) error {
			_ = runner.SendHeartbeat(b.AgentControl(), service, false) // The next one follows.
			return nil
		})
	})
	b.group.Go(func() error {
		return timer.Every(ctx, timer.Host{}, leaseInterval, func(context.Context) error {
			runner.EndDueRuns()
			return nil
		})
	})
	return nil
}

// startProcess starts the program on a machine of its own.
func (b *Testbed) startProcess(program string, network int, l Limits, extra ...string) (*launcher.Process, error) {
	ip, _, err := net.SplitHostPort(b.address(network, portInternal))
	if err != nil {
		return nil, err
	}
	s := launcher.Settings{
		Node: program, IP: ip, Domain: domain, Port: portInternal, Seeds: []string{b.EntryControl()}, Store: b.address(netStore, portStore),
		MemoryMB: l.MemoryMB, MaxDescriptors: l.Descriptors, MaxLease: maxLease,
	}
	p, err := launcher.New(program, filepath.Join(b.opts.Bin, program), b.opts.Dir, "", append(s.Lines(), extra...))
	if err != nil {
		return nil, err
	}
	return p, p.Start()
}

// Close kills the processes and stops the stand-ins.
func (b *Testbed) Close() error {
	b.stop()
	for _, p := range []*launcher.Process{b.Entry, b.Agent} {
		if p != nil {
			p.SignalAndWait(syscall.SIGKILL)
		}
	}
	for _, s := range b.servers {
		s.Close()
	}
	return b.group.Wait()
}
