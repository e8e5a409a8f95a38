// Package passthrough runs instances that pass requests through, inside one
// process, before stand-ins of the users' platform.
package passthrough

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform/platformtest"
	_ "github.com/savoryfold/savoryfold/plugins/standard" // all plug-ins
)

// startTimeout bounds the wait for what a test needs to begin.
const startTimeout = 20 * time.Second

// Cluster is a store and the instances before it.
type Cluster struct {
	Store     *platformtest.Store
	Instances []*Instance
	t         *testing.T
}

// Instance is one instance and its addresses.
type Instance struct {
	ID, Zone, Address, Readiness string
	Kernel                       *kernel.Instance
	Log                          *LogBuffer
	ended                        chan struct{}
	err                          error // set before ended is closed
}

// LogBuffer keeps log lines.
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

// New starts a store. What the cluster holds ends with the test.
func New(t *testing.T) *Cluster {
	c := &Cluster{Store: platformtest.NewStore(), t: t}
	t.Cleanup(c.close)
	return c
}

// Start starts an instance with further lines of settings and waits until it is
// ready, or only until it runs if the store has no configuration.
func (c *Cluster) Start(id, zone string, ready bool, settings string) *Instance {
	c.t.Helper()
	in := &Instance{ID: id, Zone: zone, Address: freeAddress(c.t), Readiness: freeAddress(c.t), Log: &LogBuffer{}, ended: make(chan struct{})}
	peer := freeAddress(c.t)
	text := platformtest.Settings{
		ID: id, Zone: zone, Store: c.Store.Address(), Peer: peer, Listen: in.Address, Readiness: in.Readiness,
		MemberTTL: time.Second, Drain: 200 * time.Millisecond, RepeatExtra: 100, Further: settings,
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
		close(in.ended)
	}()
	c.Instances = append(c.Instances, in)
	c.Eventually("the instance runs", func() bool { return in.Kernel.State() == kernel.StateReady })
	if ready {
		c.Eventually("the instance is ready", func() bool { return platformtest.Ready(in.Readiness) })
	}
	return in
}

// Members waits until every instance knows a number of instances.
func (c *Cluster) Members(n int) {
	c.t.Helper()
	c.Eventually("the instances know one another", func() bool {
		for _, in := range c.Instances {
			if len(in.Kernel.Host.Fleet.Members()) != n {
				return false
			}
		}
		return true
	})
}

// Eventually waits until a condition holds.
func (c *Cluster) Eventually(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("not within %v: %s", startTimeout, what)
}

// Stop stops an instance gracefully and waits for its end.
func (in *Instance) Stop() error {
	in.Kernel.Shutdown()
	<-in.ended
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

// freeAddress returns a loopback address whose port was free.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
