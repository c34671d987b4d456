// Package rig starts the programs of a small fleet as processes on loopback addresses, for the demo and
// for tests of failures. It is test equipment: the system's own processes start no others.
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

// stopTimeout is how long a process may take to end by itself after SIGTERM.
const stopTimeout = 45 * time.Second

// Process is one running program.
type Process struct {
	name   string
	cmd    *exec.Cmd
	output *outputBuffer
	done   chan struct{}
	err    error
}

// Start runs a program as a process. What it prints is kept for Output.
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

// Name returns the name given at the start.
func (p *Process) Name() string { return p.name }

// Output returns what the process has printed so far.
func (p *Process) Output() string { return p.output.String() }

// Signal sends a signal, such as SIGSTOP and SIGCONT.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process by SIGKILL and waits.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop ends the process by SIGTERM and waits. The error is that of an exit code other than 0, or says
// that the process had to be killed.
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
		return fmt.Errorf("%s did not end within %s", p.name, stopTimeout)
	}
}

// Running tells whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// outputBuffer collects what a process prints.
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

// String returns what was written.
func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// Build builds the programs of the module at root into dir.
func Build(root, dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(os.PathSeparator), ".", "./standinlog", "./standinserver")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}
