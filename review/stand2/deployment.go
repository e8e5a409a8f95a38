//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/platform/platformtest"
	"github.com/savoryfold/savoryfold/test/loopback"
)

const (
	// startTimeout bounds the start of an instance, until it reports that it is ready.
	startTimeout = 20 * time.Second
	// settleTime is the time that instances get to learn of each other.
	settleTime = 4 * time.Second
	// stopTimeout is the grace period of an instance, and a second.
	stopTimeout = 9 * time.Second
)

// deployment is a metadata store, instances as processes of their own, and a record of what
// happens.
type deployment struct {
	store  *platformtest.Store
	dir    string // temporary
	began  time.Time
	nodes  []*node
	closer []func()

	mu     sync.Mutex
	record *bufio.Writer // guarded by mu
	file   *os.File
	// interrupted receives the signals that end a case before its time.
	interrupted chan os.Signal
}

// node is an instance.
type node struct {
	name, frontend, readiness string
	command                   *exec.Cmd
	ended                     chan struct{}
}

func newDeployment(path string) (*deployment, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	dir, err := os.MkdirTemp("", "savoryfold-review-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	d := &deployment{store: platformtest.NewStore(), dir: dir, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	d.store.StatesNoEra.Store(true) // the protocol has no such header
	d.interrupted = make(chan os.Signal, 1)
	signal.Notify(d.interrupted, syscall.SIGTERM, syscall.SIGINT)
	return d, nil
}

// note adds a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// onStop has a function called when the deployment stops.
func (d *deployment) onStop(f func()) { d.closer = append(d.closer, f) }

// startNodes starts an instance in each of the zones and waits until all are ready.
func (d *deployment) startNodes(zones ...string) error {
	template, err := os.ReadFile("deploy/savoryfoldd.ini.tmpl")
	if err != nil {
		return errors.Wrap(err, "template")
	}
	words, err := runWords("deploy/system.toml")
	if err != nil {
		return err
	}
	for i, zone := range zones {
		n, err := d.startNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, string(template), words)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.nodes = append(d.nodes, n)
		d.mu.Unlock()
	}
	for _, n := range d.nodes {
		for end := time.Now().Add(startTimeout); !platformtest.Ready(n.readiness); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return errors.Errorf("%s is not ready", n.name)
			}
		}
	}
	time.Sleep(settleTime)
	d.note("%d instances are ready", len(d.nodes))
	return nil
}

// bounds are those of the small deployments.
var bounds = map[string]string{
	"bounds.grace_s": "8", "bounds.exposure_share": "0.1", "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra": "52", "bounds.budget_window_s": "10",
	"limits.max_fds": "4200", "limits.memory_mb": "284", "limits.link_mbps": "1000.0",
}

func (d *deployment) startNode(name, zone, template string, words []string) (*node, error) {
	address, err := loopback.FreeAddress("tcp")
	if err != nil {
		return nil, err
	}
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, frontend: net.JoinHostPort(ip, ports[0]), readiness: net.JoinHostPort(ip, ports[1]), ended: make(chan struct{})}
	values := map[string]string{
		"node_name": name, "zone": zone, "ip": ip, "listen.frontend": n.frontend, "listen.readiness": n.readiness,
		"internal_ports.0": ports[2], "internal_ports.1": ports[3], "platform.address": d.store.Address(),
	}
	for k, v := range bounds {
		values[k] = v
	}
	settings := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(settings, []byte(fill(template, values)), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	output, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	var args []string
	for _, w := range words[1:] {
		args = append(args, fill(w, values))
	}
	n.command = exec.Command(words[0], args...)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SAVORYFOLD_SETTINGS=" + settings}
	n.command.Stdout, n.command.Stderr = output, output
	if err := n.command.Start(); err != nil {
		return nil, errors.Wrap(err, "start an instance")
	}
	go func() {
		_ = n.command.Wait() // an end by a signal is no error here
		close(n.ended)
	}()
	return n, nil
}

// kill ends the instances at once.
func (d *deployment) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		_ = n.command.Process.Kill() // may have ended
	}
	_ = os.RemoveAll(d.dir)
}

// stop stops the instances and what onStop names, and removes the temporary folder.
func (d *deployment) stop() error {
	for _, n := range d.nodes {
		_ = n.command.Process.Signal(syscall.SIGTERM) // may have ended
	}
	var err error
	for _, n := range d.nodes {
		select {
		case <-n.ended:
		case <-time.After(stopTimeout):
			err = errors.Errorf("%s does not stop", n.name)
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
	for _, f := range d.closer {
		f()
	}
	d.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(d.dir)
	}
	return err
}

// closeRecord writes the rest of the record.
func (d *deployment) closeRecord() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.record.Flush(); err != nil {
		return errors.Wrap(err, "record")
	}
	return errors.Wrap(d.file.Close(), "record")
}

// freePorts returns ports of an address on which nothing listens.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer l.Close()
		ports = append(ports, strconv.Itoa(l.Addr().(*net.TCPAddr).Port))
	}
	return ports, nil
}

// runWords returns the command of the deploy file, split at spaces.
func runWords(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "deploy file")
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(value, `"`)), nil
		}
	}
	return nil, errors.Errorf("%s has no command", path)
}

// fill fills the placeholders and sections of a template. A section stays if it has a value.
func fill(text string, values map[string]string) string {
	for {
		before, rest, found := strings.Cut(text, "{{#")
		if !found {
			break
		}
		name, rest, _ := strings.Cut(rest, "}}")
		inner, after, _ := strings.Cut(rest, "{{/"+name+"}}")
		if values[name] == "" {
			inner = ""
		}
		text = before + inner + after
	}
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		name, after, _ := strings.Cut(rest, "}}")
		out.WriteString(values[name])
		text = after
	}
}
