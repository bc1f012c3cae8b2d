package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"cowslipbend.dev"
)

// process is one of the real programs. It is ended by its process id only.
type process struct {
	name string
	bin  string
	dir  string
	cmd  *exec.Cmd
	// paused is set while the process is stopped by a signal.
	paused bool
}

// newProcess writes the settings of a process that is not started yet.
func newProcess(name, bin, dir string, settings []string) (*process, error) {
	p := &process{name: name, bin: bin, dir: dir}
	if err := os.WriteFile(p.file(".settings"), []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "give a directory that can be written", "settings of %s cannot be written", name)
	}
	return p, nil
}

func (p *process) file(suffix string) string { return filepath.Join(p.dir, p.name+suffix) }

// start runs the program; its log goes to a file that is kept.
func (p *process) start() error {
	log, err := os.OpenFile(p.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "give a directory that can be written", "log of %s cannot be written", p.name)
	}
	defer func() { _ = log.Close() }() // The process has its own descriptor.
	p.cmd = exec.Command(p.bin, "platform")
	p.cmd.Env = append(os.Environ(), "COWSLIPBEND_SETTINGS="+p.file(".settings"))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "build the programs", "%s does not start", p.bin)
	}
	return nil
}

// signal sends a signal if the process runs.
func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // It may have ended already.
	}
}

// pause stops the process, or lets it go on.
func (p *process) pause(paused bool) {
	p.paused = paused
	if paused {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// end sends the signal, SIGTERM or SIGKILL, and waits for the end.
func (p *process) end(s syscall.Signal) {
	if p.cmd == nil {
		return
	}
	p.pause(false)
	p.signal(s)
	_ = p.cmd.Wait() // The signal is the reason of its end.
	p.cmd = nil
}
