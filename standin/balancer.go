package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Times of the balancer.
const (
	balancerCheck   = 100 * time.Millisecond
	balancerTimeout = time.Second
)

// Balancer is the platform's balancer: it passes TCP connections to the ready
// instances in turn.
type Balancer struct {
	targets  []*target
	listener net.Listener
	next     atomic.Uint64
	cancel   context.CancelFunc
	done     sync.WaitGroup
	client   *http.Client
}

type target struct {
	address string
	ready   atomic.Bool
}

// NewBalancer starts a balancer over the entry addresses of instances.
func NewBalancer(address string, targets []string) (*Balancer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "balancer")
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{listener: l, cancel: cancel, client: &http.Client{Timeout: balancerTimeout}}
	for _, t := range targets {
		b.targets = append(b.targets, &target{address: t})
	}
	for _, t := range b.targets {
		b.check(ctx, t)
		b.done.Go(func() { b.watch(ctx, t) })
	}
	b.done.Go(func() { b.accept(ctx) })
	return b, nil
}

// Address returns the address in use.
func (b *Balancer) Address() string { return b.listener.Addr().String() }

// Close ends the balancer with all its connections.
func (b *Balancer) Close() error {
	b.cancel()
	err := b.listener.Close()
	b.done.Wait()
	b.client.CloseIdleConnections()
	return err
}

func (b *Balancer) watch(ctx context.Context, t *target) {
	ticker := time.NewTicker(balancerCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.check(ctx, t)
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) check(ctx context.Context, t *target) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/readyz", nil)
	if err != nil {
		return
	}
	resp, err := b.client.Do(req)
	if err != nil {
		t.ready.Store(false)
		return
	}
	_ = resp.Body.Close()
	t.ready.Store(resp.StatusCode == http.StatusOK)
}

func (b *Balancer) accept(ctx context.Context) {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.done.Go(func() { b.pass(ctx, conn) })
	}
}

// pass joins a caller's connection with one to a ready instance.
func (b *Balancer) pass(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	instance := b.dial()
	if instance == nil {
		return
	}
	defer instance.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = caller.Close()
		_ = instance.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { copyHalf(instance, caller) })
	both.Go(func() { copyHalf(caller, instance) })
	both.Wait()
}

// copyHalf copies one direction and passes its end on.
func copyHalf(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// dial connects to the next ready instance, or returns nil.
func (b *Balancer) dial() net.Conn {
	start := b.next.Add(1)
	for i := range uint64(len(b.targets)) {
		t := b.targets[(start+i)%uint64(len(b.targets))]
		if !t.ready.Load() {
			continue
		}
		if conn, err := net.DialTimeout("tcp", t.address, balancerTimeout); err == nil {
			return conn
		}
	}
	return nil
}
