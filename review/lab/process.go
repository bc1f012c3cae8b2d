package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the small deployment.
const (
	serviceName = "desk"
	zoneName    = "zone-a"
	hostName    = "jobs.example"
	routePrefix = "/run/"
	restartTime = 1500 * time.Millisecond
)

// process runs one of the project's programs.
type process struct {
	name string
	path string
	args []string
	env  []string
	log  string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if done() {
		return errors.New("the case has ended")
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return p.cmd.Start()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // It may have exited already.
	}
}

// end kills the process and waits for it.
func (p *process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait() // It was killed.
	p.cmd = nil
}

// lab is a small deployment on loopback addresses.
type lab struct {
	world    *world
	store    *store
	entries  []*process
	agents   []*process
	machines []*machine
	fronts   []string
	servers  []*http.Server
	dir      string
	// advisor is nil if the queue needs no advice.
	advisor *advisor
}

// Addresses of the lab: one for each front and side machine, and one for each process at
// which it reaches the store.
const (
	storeNet = "127.77.0."
	frontNet = "127.77.1."
	sideNet  = "127.77.2."
)

// options size a lab.
type options struct {
	entries, agents int
	cpu             int // thousandths of a core of each runner
	guards          bool
	advice          bool // the queue needs advice
}

// group holds the goroutines of the lab, which end once ending is closed.
var (
	group  sync.WaitGroup
	ending = make(chan struct{})
)

func done() bool {
	select {
	case <-ending:
		return true
	default:
		return false
	}
}

// freePort returns a port that is free on all addresses of the lab.
func freePort(ips []string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// newLab starts the store, the runners and the programs.
func newLab(bin, record string, o options) (*lab, error) {
	w, err := newWorld(record)
	if err != nil {
		return nil, err
	}
	l := &lab{world: w, store: newStore(w)}
	if l.dir, err = os.MkdirTemp("", "lab"); err != nil {
		return l, err
	}
	var ips []string
	for i := range o.entries + o.agents {
		ips = append(ips, fmt.Sprint(storeNet, i+1), fmt.Sprint(frontNet, i+1), fmt.Sprint(sideNet, i+1))
	}
	ports := map[string]int{}
	for _, name := range []string{"internal", "front", "ready", "control", "metrics", "app", "store"} {
		if ports[name], err = freePort(ips); err != nil {
			return l, err
		}
	}
	l.putConfig(o, 1)
	extra := []string{}
	if o.advice {
		l.advisor = newAdvisor(l)
		addr, err := l.advisor.serve(storeNet+"1", ports["app"])
		if err != nil {
			return l, err
		}
		extra = append(extra, wire["setting.advice"]+"="+addr)
	}
	for i := range o.entries {
		ip := fmt.Sprint(frontNet, i+1)
		l.fronts = append(l.fronts, fmt.Sprintf("%s:%d", ip, ports["front"]))
		storeAddr, err := l.serveStore(i, ports["store"])
		if err != nil {
			return l, err
		}
		p := l.process("entry", i, ports["metrics"], append(append(l.settings("entry", i, ip, storeAddr, ports, o), extra...),
			fmt.Sprintf("listen.front=%s:%d", ip, ports["front"]), fmt.Sprintf("listen.readiness=%s:%d", ip, ports["ready"])), bin)
		l.entries = append(l.entries, p)
	}
	for i := range o.agents {
		ip := fmt.Sprint(sideNet, i+1)
		m := &machine{
			world: w, name: fmt.Sprintf("runner%d", i), ip: ip, app: fmt.Sprintf("%s:%d", ip, ports["app"]), control: fmt.Sprintf("%s:%d", ip, ports["control"]),
			cpu: o.cpu, guards: o.guards, advisor: l.advisor, rack: fmt.Sprintf("r1-%d", i/3),
		}
		l.machines = append(l.machines, m)
		if err := m.boot(fmt.Sprintf("i-%08x", 0xa0+i)); err != nil {
			return l, err
		}
		storeAddr, err := l.serveStore(o.entries+i, ports["store"])
		if err != nil {
			return l, err
		}
		p := l.process("agent", i, ports["metrics"], append(l.settings("agent", i, ip, storeAddr, ports, o), "app="+m.app), bin)
		l.agents = append(l.agents, p)
	}
	for _, p := range append(append([]*process{}, l.entries...), l.agents...) {
		if err := os.WriteFile(filepath.Join(l.dir, p.name+".conf"), []byte(strings.Join(p.env[1:], "\n")+"\n"), 0o600); err != nil {
			return l, err
		}
		p.env = p.env[:1]
		if err := p.start(); err != nil {
			return l, err
		}
	}
	return l, nil
}

// serveStore serves the store for the process with the number, entries first.
func (l *lab) serveStore(n, port int) (string, error) {
	addr := fmt.Sprintf("%s%d:%d", storeNet, n+1, port)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: l.store.handler(n)}
	l.servers = append(l.servers, server)
	group.Go(func() { _ = server.Serve(listener) })
	return addr, nil
}

// leader returns the entry that last wrote to the store under a condition on a row that
// exists, as the bench chooses the leader.
func (l *lab) leader() (int, *process) {
	l.store.mu.Lock()
	n := l.store.lastWriter
	l.store.mu.Unlock()
	return n, l.entries[n]
}

// process returns a process that is not started yet. Behind the variable that names its
// settings file its env holds the lines of that file.
func (l *lab) process(role string, n, metrics int, settings []string, bin string) *process {
	name := fmt.Sprintf("%s%d", role, n)
	return &process{
		name: name, path: filepath.Join(bin, role), args: []string{"platform", "--metrics", fmt.Sprint(metrics)},
		env: append([]string{wire["env.settings"] + "=" + filepath.Join(l.dir, name+".conf")}, settings...), log: filepath.Join(l.dir, name+".log"),
	}
}

func (l *lab) settings(role string, n int, ip, storeAddr string, ports map[string]int, o options) []string {
	var seeds []string
	for i := range min(o.entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", frontNet, i+1, ports["control"]))
	}
	lines := []string{
		fmt.Sprintf("node=%s-%d", role, n), "role=" + role, "ip=" + ip, "zone=" + zoneName, "region=r", fmt.Sprintf("listen.control=%s:%d", ip, ports["control"]),
		fmt.Sprintf("internal_ports=%d,%d", ports["internal"], ports["internal"]), "seeds=" + strings.Join(seeds, ","), "initial_start=true",
		"limits.cpu_share=0.4", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "heartbeat_ms=1100",
		"platform.address=" + storeAddr, "platform.form=table", "platform.row_bytes=65536", "orders=invocation",
	}
	for name, value := range bounds {
		lines = append(lines, "bounds."+name+"="+value)
	}
	return lines
}

// bounds are those of the site fraserledger.
var bounds = map[string]string{
	"seed_lag_s": "3", "reuse_after_s": "2", "contact_ms": "3000", "ack_ms": "4000", "catch_up_s": "4", "drain_ms": "2000", "grace_s": "6",
	"loss_window_ms": "200", "config_apply_ms": "2000", "regression_window_ms": "250", "max_stretch_ms": "5000", "recovery_s": "12", "hold_max_ms": "10000",
	"stop_grace_ms": "400", "gang_wait_ms": "3000", "cancel_ms": "3000", "visible_ms": "3000", "early_ms": "250", "finish_s": "14", "status_s": "120",
	"remote_factor": "1.5", "checkpoint_s": "2", "restore_ms": "600", "notice_ms": "4500", "lease_ms": "3000", "thaw_slack_ms": "300", "pace_ms": "100", "harm_ms": "4000",
}

// putConfig writes a version of the operator's config.
func (l *lab) putConfig(o options, version int) {
	advice := ""
	if o.advice {
		advice = adviceConfig
	}
	l.store.put(wire["config.table"], wire["config.key"], []byte(fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"q0","host":%q,"path_prefix":%q,"service":%q,"priority":0,"max_attempts":3,"stretch":1.5,"target_latency_ms":250%s}],`+
			`"services":[{"name":%q,"rejects_overload":%t}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,"idle_timeout_ms":60000}}`,
		version, hostName, routePrefix, serviceName, advice, serviceName, o.guards,
	)))
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	close(ending)
	for _, p := range append(append([]*process{}, l.entries...), l.agents...) {
		p.end()
	}
	for _, s := range l.servers {
		_ = s.Close()
	}
	for _, m := range l.machines {
		m.mu.Lock()
		server := m.server
		m.mu.Unlock()
		if server != nil {
			_ = server.Close()
		}
	}
	group.Wait()
	l.world.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
}
