// Package passthrough tests instances in pass-through mode, inside one process,
// against stand-ins of the users' platform.
package passthrough

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform/platformtest"
	_ "github.com/savoryfold/savoryfold/plugins/standard" // registers all plug-ins
	"github.com/savoryfold/savoryfold/test/loopback"
)

// testTimeout is the timeout of Eventually.
const testTimeout = 20 * time.Second

// Cluster is a store and the instances that use it.
type Cluster struct {
	Store     *platformtest.Store
	Instances []*Instance
	// Drain is the drain time of instances that are started from now on.
	Drain time.Duration
	// Duties assigns duties to the instances that are started from now on, unless it is nil.
	Duties *platformtest.Duties
	t      *testing.T
}

// Instance is one instance and its addresses.
type Instance struct {
	ID, Zone, Address, Readiness string
	Kernel                       *kernel.Instance
	Log                          *LogBuffer
	done                         chan struct{}
	err                          error // set before done is closed
}

// LogBuffer collects log lines.
type LogBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer // guarded by mu
}

// Write implements io.Writer.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns all lines.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// lines returns the lines that contain one of the texts.
func (b *LogBuffer) lines(texts ...string) string {
	var found []string
	for line := range strings.Lines(b.String()) {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// New starts a store. The store and the cluster's instances stop at the end of
// the test.
func New(t *testing.T) *Cluster {
	c := &Cluster{Store: platformtest.NewStore(), Drain: 200 * time.Millisecond, t: t}
	t.Cleanup(c.close)
	return c
}

// Start starts an instance with additional lines of settings and waits until its
// kernel runs. If ready is true it also waits until the instance reports that it
// is ready, which needs a configuration in the store, and knows its fleet. Until then it
// uses less than its share of what the instances divide.
func (c *Cluster) Start(id, zone string, ready bool, settings string) *Instance {
	c.t.Helper()
	in := &Instance{ID: id, Zone: zone, Address: freeAddress(c.t), Readiness: freeAddress(c.t), Log: &LogBuffer{}, done: make(chan struct{})}
	peer := freeAddress(c.t)
	if c.Duties != nil {
		settings += c.Duties.Settings(c.Store.Address(), peer)
	}
	text := platformtest.Settings{
		ID: id, Zone: zone, Store: c.Store.Address(), Peer: peer, Listen: in.Address, Readiness: in.Readiness,
		MemberTTL: time.Second, Drain: c.Drain, RepeatExtra: 100, Extra: settings,
	}.Text()
	s, err := kernel.Schema().Load("test", []byte(text))
	if err != nil {
		c.t.Fatal(err)
	}
	level := &slog.LevelVar{}
	in.Kernel, err = kernel.NewInstance(s, slog.New(slog.NewJSONHandler(in.Log, &slog.HandlerOptions{Level: level})), level)
	if err != nil {
		c.t.Fatal(err)
	}
	go func() {
		in.err = in.Kernel.Run(context.Background())
		close(in.done)
	}()
	c.Instances = append(c.Instances, in)
	c.Eventually("the instance runs", func() bool { return in.Kernel.State() == kernel.StateReady })
	if ready {
		c.Eventually("the instance is ready", func() bool { return platformtest.Ready(in.Readiness) })
		c.Eventually("the instance knows its fleet", func() bool { return len(in.Kernel.Host.Fleet.Members()) > 0 })
	}
	return in
}

// WaitMembers waits until every instance sees n instances.
func (c *Cluster) WaitMembers(n int) {
	c.t.Helper()
	c.Eventually("every instance sees all instances", func() bool {
		for _, in := range c.Instances {
			if len(in.Kernel.Host.Fleet.Members()) != n {
				return false
			}
		}
		return true
	})
}

// Eventually waits until a condition holds, and fails the test after testTimeout.
func (c *Cluster) Eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("condition does not hold after %v: %s", testTimeout, what)
}

// storeCalls lists the counters of an instance's calls of the store.
func (in *Instance) storeCalls() string {
	var lines []string
	in.Kernel.Host.Metrics.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok && strings.HasPrefix(name, "store_calls") {
			lines = append(lines, fmt.Sprintf("%s %d", name, c.Snapshot().Count()))
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, ", ")
}

// Stop stops an instance gracefully and waits until it has stopped.
func (in *Instance) Stop() error {
	in.Kernel.Shutdown()
	<-in.done
	return in.err
}

func (c *Cluster) close() {
	for _, in := range c.Instances {
		if err := in.Stop(); err != nil {
			c.t.Errorf("%s: %v", in.ID, err)
		}
	}
	c.Store.Close()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress("tcp")
	if err != nil {
		t.Fatal(err)
	}
	return address
}
