package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/starter"
)

// process runs one of the real programs. It is signalled only by its process
// id.
type process struct {
	name string
	bin  string
	dir  string
	// advertised is the address at which the other processes reach it.
	advertised string
	cmd        *exec.Cmd
	// paused is set while the process is stopped by a signal.
	paused bool
}

// newProcess writes the settings file of a process and does not start it.
func newProcess(name, bin, dir, advertised string, settings []string) (*process, error) {
	p := &process{name: name, bin: bin, dir: dir, advertised: advertised}
	if err := os.WriteFile(p.path(".settings"), []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "give a directory that can be written", "settings file of %s cannot be written", name)
	}
	return p, nil
}

func (p *process) path(suffix string) string { return filepath.Join(p.dir, p.name+suffix) }

// start runs the program. Its output is appended to a log file that remains
// after the run.
func (p *process) start() error {
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "give a directory that can be written", "log file of %s cannot be opened for writing", p.name)
	}
	defer func() { _ = log.Close() }() // The process has its own descriptor.
	p.cmd = exec.Command(p.bin, "platform")
	p.cmd.Env = append(os.Environ(), "COWSLIPBEND_SETTINGS="+p.path(".settings"), starter.EnvName("advertise")+"="+p.advertised)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "build the programs", "program %s cannot be started", p.bin)
	}
	return nil
}

// signal sends a signal to the process if it has been started.
func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // The process may have exited already.
	}
}

// setPaused stops the process with SIGSTOP or continues it with SIGCONT.
func (p *process) setPaused(paused bool) {
	p.paused = paused
	if paused {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// signalAndWait sends the signal, SIGTERM or SIGKILL, and waits for the process
// to exit.
func (p *process) signalAndWait(s syscall.Signal) {
	if p.cmd == nil {
		return
	}
	p.setPaused(false)
	p.signal(s)
	_ = p.cmd.Wait() // The error only says that the signal ended it.
	p.cmd = nil
}
