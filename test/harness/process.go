// Package harness starts real savoryfold processes for tests and experiments.
package harness

import (
	"bufio"
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	startTimeout = 30 * time.Second
	maxLogBytes  = 256 << 10
)

// Binaries holds the paths of the programs.
type Binaries struct {
	Instance string
	Standin  string
}

// Build builds the programs into a directory.
func Build(dir string) (Binaries, error) {
	b := Binaries{Instance: filepath.Join(dir, "savoryfoldd"), Standin: filepath.Join(dir, "savoryfold-standin")}
	const module = "github.com/savoryfold/savoryfold/cmd/"
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		module+"savoryfoldd", module+"savoryfold-standin").CombinedOutput()
	return b, errors.Wrapf(err, "go build: %s", out)
}

// Process is a process that the harness started.
type Process struct {
	Name string
	// FirstLine is the first line of its standard output; empty if Start did not
	// wait for it.
	FirstLine string
	cmd       *exec.Cmd
	stderr    tailBuffer
	exited    chan struct{}
	state     *os.ProcessState
}

// tailBuffer keeps the last part of what is written to it.
type tailBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer // guarded by mu
}

// Write implements io.Writer.
func (t *tailBuffer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.buf.Len() > maxLogBytes {
		t.buf.Next(maxLogBytes / 2)
	}
	return t.buf.Write(b)
}

// String returns the buffered text.
func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.String()
}

// Start starts a program. If line is true it waits for the first line of the
// program's standard output.
func Start(name string, line bool, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stderr = &p.stderr
	if !line {
		p.cmd.Stdout = &p.stderr
	}
	// The operating system kills the process if this one exits without its clean-up.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	first := make(chan string, 1)
	if line {
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		go func() {
			scanner := bufio.NewScanner(out)
			scanner.Buffer(nil, maxLogBytes)
			scanner.Scan()
			first <- scanner.Text()
		}()
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	if line {
		select {
		case p.FirstLine = <-first:
		case <-time.After(startTimeout):
		}
	}
	go func() {
		_ = p.cmd.Wait()
		p.state = p.cmd.ProcessState
		close(p.exited)
	}()
	if line && p.FirstLine == "" {
		p.Kill()
		return nil, errors.Errorf("%s wrote no line to standard output: %s", name, p.Log())
	}
	return p, nil
}

// Log returns the last part of the process's standard error and, if Start did
// not wait for a line, of its standard output.
func (p *Process) Log() string { return p.stderr.String() }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Wait waits until the process exits and returns its exit code. It returns -1 on
// timeout and if a signal ended the process.
func (p *Process) Wait(d time.Duration) int {
	select {
	case <-p.exited:
		return p.state.ExitCode()
	case <-time.After(d):
		return -1
	}
}

// Stop sends SIGTERM and returns the exit code, or -1 if the process did not
// exit in time and was killed.
func (p *Process) Stop(d time.Duration) int {
	p.Signal(syscall.SIGTERM)
	code := p.Wait(d)
	if code < 0 {
		p.Kill()
	}
	return code
}

// CPU waits until the process exits and returns its user and system CPU time.
func (p *Process) CPU() time.Duration {
	<-p.exited
	return p.state.UserTime() + p.state.SystemTime()
}
