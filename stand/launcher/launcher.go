package launcher

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/starter"
)

// Settings are the settings that entries and agents share.
type Settings struct {
	Node, IP string
	Domain   string
	// Port is the port for calls between the processes, Store the address of the store.
	Port  int
	Seeds []string
	Store string
	// MemoryMB is the memory of the machine. MaxDescriptors is left out if it is zero.
	MemoryMB       int
	MaxDescriptors int
	// MaxLease is the longest lease of the runners.
	MaxLease cowslipbend.Span
	// MaxRow is the largest row of the store. It is left out if it is zero.
	MaxRow cowslipbend.Bytes
}

// Lines returns the lines of the settings file.
func (s *Settings) Lines() []string {
	port := strconv.Itoa(s.Port)
	lines := []string{
		"node=" + s.Node, "ip=" + s.IP, "zone=" + s.Domain, "internal_ports=" + port + "," + port,
		"seeds=" + strings.Join(s.Seeds, ","), "platform.address=" + s.Store, "limits.memory_mb=" + strconv.Itoa(s.MemoryMB), "limits.cpu_share=0.4", "limits.link_mbps=1000",
		"bounds.hold_max_ms=" + strconv.FormatInt(int64(s.MaxLease), 10), "bounds.stop_grace_ms=400", "bounds.status_s=120", "bounds.grace_s=6",
	}
	if s.MaxDescriptors > 0 {
		lines = append(lines, "limits.max_fds="+strconv.Itoa(s.MaxDescriptors))
	}
	if s.MaxRow > 0 {
		lines = append(lines, "platform.row_bytes="+strconv.FormatInt(int64(s.MaxRow), 10))
	}
	return lines
}

// Process runs one of the real programs. It is signalled only by its process
// id.
type Process struct {
	Name string
	// Advertised is the address at which the other processes reach it; empty for the one at
	// which it listens for them.
	Advertised string
	bin        string
	dir        string
	cmd        *exec.Cmd
	// paused is set while the process is stopped by a signal.
	paused bool
}

// New writes the settings file of a process that runs the program bin, and does not start it.
func New(name, bin, dir, advertised string, settings []string) (*Process, error) {
	p := &Process{Name: name, Advertised: advertised, bin: bin, dir: dir}
	if err := os.WriteFile(p.path(".settings"), []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "give a directory that can be written", "settings file of %s cannot be written", name)
	}
	return p, nil
}

func (p *Process) path(suffix string) string { return filepath.Join(p.dir, p.Name+suffix) }

// Start runs the program. Its output is appended to a log file that remains
// after the run.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "give a directory that can be written", "log file of %s cannot be opened for writing", p.Name)
	}
	defer func() { _ = log.Close() }() // The process has its own descriptor.
	p.cmd = exec.Command(p.bin, "platform")
	p.cmd.Env = append(os.Environ(), "COWSLIPBEND_SETTINGS="+p.path(".settings"), starter.EnvName("advertise")+"="+p.Advertised)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "build the programs", "program %s cannot be started", p.bin)
	}
	return nil
}

// ID returns the process id of a process that has been started.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// signal sends a signal to the process if it has been started.
func (p *Process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // The process may have exited already.
	}
}

// SetPaused stops the process with SIGSTOP or continues it with SIGCONT.
func (p *Process) SetPaused(paused bool) {
	p.paused = paused
	if paused {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// Terminate asks the process to end, and does not wait for that.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// SignalAndWait sends the signal, SIGTERM or SIGKILL, and waits for the process
// to exit.
func (p *Process) SignalAndWait(s syscall.Signal) {
	if p.cmd == nil {
		return
	}
	p.SetPaused(false)
	p.signal(s)
	_ = p.cmd.Wait() // The error only says that the signal ended it.
	p.cmd = nil
}
