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

// Interval of readiness checks, and timeout of checks and of connecting.
const (
	readinessInterval = 100 * time.Millisecond
	balancerTimeout   = time.Second
)

// Balancer simulates the platform's load balancer: it forwards TCP connections to
// the ready instances, round-robin.
type Balancer struct {
	targets  []*target
	listener net.Listener
	next     atomic.Uint64
	cancel   context.CancelFunc
	workers  sync.WaitGroup
	client   *http.Client
}

type target struct {
	address string
	ready   atomic.Bool
}

// NewBalancer starts a load balancer that listens on address. The targets are the
// entry addresses of instances.
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
		b.checkReadiness(ctx, t)
		b.workers.Go(func() { b.pollReadiness(ctx, t) })
	}
	b.workers.Go(func() { b.accept(ctx) })
	return b, nil
}

// Address returns the address that the balancer listens on.
func (b *Balancer) Address() string { return b.listener.Addr().String() }

// Close stops the balancer and closes all its connections.
func (b *Balancer) Close() error {
	b.cancel()
	err := b.listener.Close()
	b.workers.Wait()
	b.client.CloseIdleConnections()
	return err
}

func (b *Balancer) pollReadiness(ctx context.Context, t *target) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.checkReadiness(ctx, t)
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) checkReadiness(ctx context.Context, t *target) {
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
		b.workers.Go(func() { b.forward(ctx, conn) })
	}
}

// forward connects a caller to a ready instance and copies both directions.
func (b *Balancer) forward(ctx context.Context, caller net.Conn) {
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
	both.Go(func() { copyOneWay(instance, caller) })
	both.Go(func() { copyOneWay(caller, instance) })
	both.Wait()
}

// copyOneWay copies one direction and then closes it for writing.
func copyOneWay(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// dial connects to the next ready instance. It returns nil if none is reachable.
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
