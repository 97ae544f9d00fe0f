package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// exitTimeout is how long a process may take to exit after SIGTERM before it is killed: the
// grace period, a time for which it may be frozen, and a margin.
const exitTimeout = grace + maxFaultTime + 2*time.Second

// process is a program that the soak starts, and starts again.
type process struct {
	name, program, settings, log string
	// onExit is called when the process ends without having been told to.
	onExit func(name string, err error)
	// restarting is held while the process is ended and started again; it is taken before mu.
	restarting sync.Mutex

	// mu guards the fields below; it is a leaf lock.
	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	ending  bool
	stopped bool
}

// newProcess returns a process of a program with the given settings, which it writes to a
// file in the directory.
func newProcess(directory, binaries, program, name, settings string, onExit func(string, error)) (*process, error) {
	file := filepath.Join(directory, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, program: filepath.Join(binaries, program), settings: file, log: filepath.Join(directory, name+".log"), onExit: onExit}
	return p, p.start()
}

// start starts the process; its output is appended to its log.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	command := exec.Command(p.program, "--config", p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done, p.ending = command, done, false
	go p.wait(command, done)
	return nil
}

func (p *process) wait(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	unexpected := !p.ending
	p.mu.Unlock()
	close(done)
	if unexpected {
		p.onExit(p.name, err)
	}
}

// signal sends a signal to the process. It fails with os.ErrProcessDone if that has exited.
func (p *process) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		p.ending = true
	}
	return p.command.Process.Signal(signal)
}

// end sends a signal that ends the process and waits until it has exited. It kills a process
// that takes longer than exitTimeout, and reports that.
func (p *process) end(signal syscall.Signal) (inTime bool) {
	// An error means that the process has exited already.
	_ = p.signal(signal)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(exitTimeout):
	}
	_ = p.signal(syscall.SIGKILL)
	<-done
	return false
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	_ = p.signal(syscall.SIGCONT)
	p.end(syscall.SIGKILL)
}
