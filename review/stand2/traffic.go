//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// callers send requests at a constant rate, to the instances in turn.
type callers struct {
	d       *deployment
	clients []*http.Client
	wait    sync.WaitGroup

	mu     sync.Mutex
	sentAt map[string]time.Time // by ID; guarded by mu
	// statuses counts the answers; 0 is none; guarded by mu.
	statuses map[int]int
}

func newCallers(d *deployment) *callers {
	c := &callers{d: d, sentAt: make(map[string]time.Time), statuses: make(map[int]int)}
	for range d.nodes {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}})
	}
	return c
}

// send sends requests at a rate per second, as sendEach does.
func (c *callers) send(ctx context.Context, perSecond int, request func(n int) platformtest.Request) {
	c.sendEach(ctx, time.Second/time.Duration(perSecond), request)
}

// sendEach sends a request in each interval until the context ends, and waits for the answers.
func (c *callers) sendEach(ctx context.Context, interval time.Duration, request func(n int) platformtest.Request) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			c.wait.Wait()
			return
		case <-ticker.C:
		}
		q := request(n)
		i := n % len(c.d.nodes)
		q.Address, q.ID = c.d.nodes[i].frontend, fmt.Sprintf("%016x", rand.Uint64())
		c.mu.Lock()
		c.sentAt[q.ID] = time.Now()
		c.mu.Unlock()
		c.wait.Go(func() { c.sendOne(i, q) })
	}
}

func (c *callers) sendOne(i int, q platformtest.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout+time.Second)
	defer cancel()
	status := 0
	resp, err := platformtest.SendWith(ctx, c.clients[i], q)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		status = resp.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
	c.d.note("request %s to %s answered %d after %d ms", q.ID, c.d.nodes[i].name, status, time.Since(c.sentAt[q.ID]).Milliseconds())
}

// sent returns when a request was sent.
func (c *callers) sent(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt[id]
}

// summary describes the answers.
func (c *callers) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d requests, answers by status (0 is none): %v", len(c.sentAt), c.statuses)
}
