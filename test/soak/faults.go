package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/test/relay"
)

const (
	// maxFaultInterval is the longest time between the starts of two faults;
	// faults overlap.
	maxFaultInterval = 900 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 2500 * time.Millisecond
	// stopTimeout is the time in which a process must exit after SIGTERM.
	stopTimeout = 6 * time.Second
)

// fault is one kind of fault. begin starts it and returns the function that ends
// it and what it affects; a nil end means that the fault was not started.
type fault struct {
	name  string
	begin func(tb *testbed) (end func(), what string)
}

var faults = []fault{
	{"kill", func(tb *testbed) (func(), string) {
		n := tb.anyInstance()
		p := n.takeDown()
		if p == nil {
			return nil, ""
		}
		p.Kill()
		return func() { tb.restart(n) }, n.id
	}},
	{"terminate", func(tb *testbed) (func(), string) {
		n := tb.anyInstance()
		if !ready(n.readiness) {
			return nil, "" // SIGTERM kills a program that has not run its first line yet
		}
		p := n.takeDown()
		if p == nil {
			return nil, ""
		}
		p.Signal(syscall.SIGTERM)
		return func() {
			if code := p.Wait(stopTimeout); code != 0 {
				tb.checker.addViolation("%s exited with code %d after SIGTERM", n.id, code)
				p.Kill()
			}
			tb.restart(n)
		}, n.id
	}},
	{"pause", func(tb *testbed) (func(), string) {
		n := tb.anyInstance()
		p, _ := n.running()
		if p == nil {
			return nil, ""
		}
		p.Signal(syscall.SIGSTOP)
		return func() {
			tb.dutyChecker.noteThawed(n.id)
			p.Signal(syscall.SIGCONT)
		}, n.id
	}},
	{"hang up", func(tb *testbed) (func(), string) {
		n := tb.anyInstance()
		// SIGHUP kills a program that has not run its first line yet.
		p, _ := n.running()
		if p == nil || !ready(n.readiness) {
			return nil, ""
		}
		p.Signal(syscall.SIGHUP)
		return func() {}, n.id
	}},
	{"server link", func(tb *testbed) (func(), string) {
		s, f := tb.anyServer(), tb.anyLinkFault()
		s.link.Set(f)
		return func() { s.link.Set(relay.Fault{}) }, fmt.Sprintf("%s %+v", s.entry.ID, f)
	}},
	{"server connections silent", func(tb *testbed) (func(), string) {
		s := tb.anyServer()
		s.link.BlackholeOpen()
		return func() {}, s.entry.ID
	}},
	{"server answers badly", func(tb *testbed) (func(), string) {
		s := tb.anyServer()
		s.failurePercent.Store(10 + tb.random.Int64N(50))
		return func() { s.failurePercent.Store(0) }, s.entry.ID
	}},
	{"stage server refuses", func(tb *testbed) (func(), string) {
		s := tb.anyServer()
		if s.stage == nil {
			return nil, ""
		}
		s.stage.Refusing.Store(true)
		return func() { s.stage.Refusing.Store(false) }, s.entry.ID
	}},
	{"server leaves", func(tb *testbed) (func(), string) {
		s := tb.anyServer()
		if s.entry.Draining {
			return nil, ""
		}
		s.entry.Draining = true
		s.entry.Sequence++
		tb.store.PutServer(s.entry)
		return func() {
			s.entry.Draining = false
			s.entry.Sequence++
			tb.store.PutServer(s.entry)
		}, s.entry.ID
	}},
	{"entry of another writer", func(tb *testbed) (func(), string) {
		s := tb.anyServer()
		tb.store.Put(platform.ServersTopic, s.entry.ID, []byte(`{"service":7`))
		return func() {
			s.entry.Sequence++
			tb.store.PutServer(s.entry)
		}, s.entry.ID
	}},
	{"store link", func(tb *testbed) (func(), string) {
		n, f := tb.anyInstance(), tb.anyLinkFault()
		n.storeLink.Set(f)
		return func() { n.storeLink.Set(relay.Fault{}) }, fmt.Sprintf("%s %+v", n.id, f)
	}},
	{"store down", func(tb *testbed) (func(), string) {
		tb.store.Down.Store(true)
		return func() { tb.store.Down.Store(false) }, ""
	}},
	{"store silent", func(tb *testbed) (func(), string) {
		tb.store.Unresponsive.Store(true)
		return func() { tb.store.Unresponsive.Store(false) }, ""
	}},
	{"store wakes no reads", func(tb *testbed) (func(), string) {
		tb.store.SuppressWakeups.Store(true)
		return func() { tb.store.SuppressWakeups.Store(false) }, ""
	}},
	{"store forgets its history", func(tb *testbed) (func(), string) {
		tb.store.Trim(platform.OperatorTopic)
		tb.store.Trim(platform.ServersTopic)
		return func() {}, ""
	}},
	{"configuration", func(tb *testbed) (func(), string) {
		tb.configure()
		return func() {}, fmt.Sprint(tb.version.Load())
	}},
	{"zone out", func(tb *testbed) (func(), string) {
		zone := zoneOf(tb.random.IntN(2))
		tb.putZoneOut(zone, true)
		return func() { tb.putZoneOut(zone, false) }, zone
	}},
}

// putZoneOut takes a zone out of service, or returns it to service. The caller holds changes.
func (tb *testbed) putZoneOut(zone string, out bool) {
	tb.zonesOut[zone] = out
	tb.store.PutZoneOut(zone, out)
}

func (tb *testbed) anyInstance() *instance { return tb.instances[tb.random.IntN(len(tb.instances))] }
func (tb *testbed) anyServer() *server     { return tb.servers[tb.random.IntN(len(tb.servers))] }

// anyLinkFault returns a random fault of a link.
func (tb *testbed) anyLinkFault() relay.Fault {
	return []relay.Fault{
		{Delay: time.Duration(tb.random.Int64N(int64(300 * time.Millisecond)))},
		{Cut: true}, {Blackhole: true}, {LoseForward: true}, {LoseBack: true},
	}[tb.random.IntN(5)]
}

// restart starts an instance's process again.
func (tb *testbed) restart(n *instance) {
	if err := tb.start(n); err != nil {
		tb.checker.addViolation("restart of %s failed: %v", n.id, err)
	}
}

// inject starts random faults until the context ends, then ends all of them.
func (tb *testbed) inject(ctx context.Context) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(tb.random.Int64N(int64(maxFaultInterval))))
		f := faults[tb.random.IntN(len(faults))]
		length := time.Duration(tb.random.Int64N(int64(maxFaultDuration)))
		tb.changes.Lock()
		end, what := f.begin(tb)
		tb.changes.Unlock()
		if end == nil {
			continue
		}
		tb.printFault(f.name, what, length)
		wg.Go(func() {
			sleep(ctx, length)
			tb.changes.Lock()
			defer tb.changes.Unlock()
			end()
		})
	}
	wg.Wait()
}

// printFault prints a line for a fault that begins.
func (tb *testbed) printFault(name, what string, length time.Duration) {
	tb.printing.Lock()
	defer tb.printing.Unlock()
	fmt.Fprintf(tb.options.Out, "%7.2f s  %s %s, for %v\n", time.Since(tb.startedAt).Seconds(), name, what, length.Round(time.Millisecond))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
