package quickstart

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/plugins/entryhttp"
	_ "github.com/savoryfold/savoryfold/plugins/standard" // all plug-ins
)

// settingsText are the settings of one instance: name, availability zone, log
// service and an instance that it finds the others by.
const settingsText = `[instance]
id = %s-1
zone = %s
settle = 100ms
[entry]
listen = 127.0.0.1:0
drain = 10ms
[platform]
log = %s
[membership]
gossip_listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
secrets = the-secret-that-the-instances-of-the-quickstart-share
seeds = %s
`

// node is one instance of the quickstart.
type node struct {
	in   *kernel.Instance
	done chan error
}

// startNode starts an instance in an availability zone.
func startNode(ctx context.Context, zone, log, seed string) (*node, error) {
	settings, err := kernel.Schema().Load("quickstart.ini", fmt.Appendf(nil, settingsText, zone, zone, log, seed))
	if err != nil {
		return nil, err
	}
	in, err := kernel.NewInstance(settings, slog.New(slog.DiscardHandler), &slog.LevelVar{})
	if err != nil {
		return nil, err
	}
	n := &node{in: in, done: make(chan error, 1)}
	go func() { n.done <- in.Run(ctx) }()
	return n, nil
}

// entry is the address for callers.
func (n *node) entry() string { return n.in.Module("entryhttp").(*entryhttp.Entry).Address() }

// wait waits for a condition of the instance.
func (n *node) wait(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	ticker := time.NewTicker(readyCheck)
	defer ticker.Stop()
	for !condition() {
		select {
		case err := <-n.done:
			n.done <- err
			return errors.Errorf("instance %s ended: %v", n.in.Host.ID(), err)
		case <-ctx.Done():
			return errors.Errorf("instance %s is not ready after %s", n.in.Host.ID(), readyWait)
		case <-ticker.C:
		}
	}
	return nil
}
