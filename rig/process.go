// Package rig runs a small fleet as processes on loopback addresses, for the demo, failure tests and benchmarks. It is
// not part of the system, whose own processes start no others.
package rig

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// stopTimeout bounds the time from SIGTERM to the exit of a process.
const stopTimeout = 45 * time.Second

// Process is a started program.
type Process struct {
	name   string
	cmd    *exec.Cmd
	output *outputBuffer
	done   chan struct{}
	err    error
}

// Start starts a program and collects its standard output and standard error. The process is killed if its
// parent dies.
func Start(name, program string, args ...string) (*Process, error) {
	p := &Process{name: name, cmd: exec.Command(program, args...), output: &outputBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Name returns the name passed to Start.
func (p *Process) Name() string { return p.name }

// Output returns the standard output and standard error of the process so far.
func (p *Process) Output() string { return p.output.String() }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM and waits until the process has exited. It returns an error if the exit code is not 0, and kills
// the process and returns an error if it has not exited within stopTimeout.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		<-p.done
		return p.err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not exit within %s of SIGTERM", p.name, stopTimeout)
	}
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// outputBuffer collects the output of a process.
type outputBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// Build builds the executables of the module at root into dir.
func Build(root, dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(os.PathSeparator), ".", "./standinlog", "./standinserver")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}
