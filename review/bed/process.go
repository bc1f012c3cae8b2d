package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// process is one of the project's programs.
type process struct {
	name, dir string
	args      []string
	cmd       *exec.Cmd
}

// newProcess writes the settings of a process that the arguments start.
func newProcess(dir, name string, settings []string, args ...string) (*process, error) {
	p := &process{name: name, dir: dir, args: args}
	return p, os.WriteFile(filepath.Join(dir, name+".conf"), []byte(strings.Join(settings, "\n")+"\n"), 0o600)
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // The process has its own descriptor.
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = append(os.Environ(), wire.Env+"="+filepath.Join(p.dir, p.name+".conf"))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return err
	}
	return nil
}

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill() // It may have ended.
	_ = p.cmd.Wait()         // The error only says that the signal ended it.
	p.cmd = nil
}

// bed holds the stand-ins and the processes of a case.
type bed struct {
	bin, dir string
	net      int // second byte of the loopback addresses
	record   *record
	store    *store
	ledger   *ledger
	linkMbps int
	memoryMB int
	// narrow is set if entries reach the store over links of linkMbps.
	narrow bool
	// ownRacks is set if each runner of the first fleet has a rack of its own.
	ownRacks bool

	mu        sync.Mutex
	processes []*process
	runners   []*runner
	entries   []*process
	fronts    []string
	seeds     []string
	storeAddr string
}

// Ports of all machines.
const (
	portInternal = 17720
	portFront    = 18161
	portReady    = 18167
	portControl  = 18166
	portRunner   = 18165
	portStore    = 18169
	portMetrics  = 19464
)

// ip returns the loopback address of a machine.
func (b *bed) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.net, kind+n/200, 1+n%200)
}

// settings returns the lines that all processes share.
func (b *bed) settings(node, ip, zone, class string) []string {
	return []string{
		"node=" + node, "role=" + class, "machine_class=" + class, "ip=" + ip, "zone=" + zone, "region=r1",
		fmt.Sprintf("internal_ports=%d,%d", portInternal, portInternal+15), "seeds=" + strings.Join(b.seeds, ","), "heartbeat_ms=1100", "orders=invocation",
		"limits.cpu_share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", b.memoryMB), "limits.max_fds=4100", fmt.Sprintf("limits.link_mbps=%d", b.linkMbps),
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.grace_s=6", "bounds.hold_max_ms=10000", "bounds.stop_grace_ms=400", "bounds.gang_wait_ms=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120", "bounds.checkpoint_s=2", "bounds.config_apply_ms=2000",
		"bounds.fencing_enabled=true", "bounds.lease_ms=3000", "platform.form=table", "platform.row_bytes=65536",
	}
}

// startEntry starts an entry that reaches the store at the address.
func (b *bed) startEntry(node, ip, zone, storeAddr string) (*process, error) {
	s := append(b.settings(node, ip, zone, "front"), "serves=front,control", "platform.address="+storeAddr,
		fmt.Sprintf("listen.front=%s:%d", ip, portFront), fmt.Sprintf("listen.readiness=%s:%d", ip, portReady), fmt.Sprintf("listen.control=%s:%d", ip, portControl))
	return b.launch(node, s, filepath.Join(b.bin, "entry"))
}

// startAgent starts an agent and its runner.
func (b *bed) startAgent(node, ip, zone, rack string, quiet bool) (*process, *runner, error) {
	r, err := newRunner(b.record, b.ledger, fmt.Sprintf("%s:%d", ip, portRunner), fmt.Sprintf("%s:%d", ip, portControl), zone, rack)
	if err != nil {
		return nil, nil, err
	}
	r.quiet = quiet
	b.mu.Lock()
	b.runners = append(b.runners, r)
	b.mu.Unlock()
	s := append(b.settings(node, ip, zone, "side"), "serves=side", "platform.address="+b.storeAddr,
		fmt.Sprintf("listen.control=%s:%d", ip, portControl), fmt.Sprintf("app=%s:%d", ip, portRunner))
	p, err := b.launch(node, s, filepath.Join(b.bin, "agent"))
	return p, r, err
}

// launch starts a program with the command of the deploy file.
func (b *bed) launch(name string, settings []string, program string) (*process, error) {
	p, err := newProcess(b.dir, name, settings, program, "platform", "--metrics", fmt.Sprint(portMetrics))
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	return p, p.start()
}

// close ends all processes.
func (b *bed) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.processes {
		p.kill()
	}
	for _, r := range b.runners {
		r.leave()
	}
}
