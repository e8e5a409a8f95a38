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

// settingsText is the settings file of one instance. Its arguments are the instance
// name, the availability zone, the log service and the address of a gossip seed.
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

// startNode starts an instance in an availability zone. An empty seed starts the first
// instance.
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

// entry returns the address for callers.
func (n *node) entry() string { return n.in.Module("entryhttp").(*entryhttp.Entry).Address() }

// waitFor waits until a condition holds. It fails if the instance stops or after
// readyTimeout.
func (n *node) waitFor(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case err := <-n.done:
			n.done <- err
			return errors.Errorf("instance %s stopped: %v", n.in.Host.ID(), err)
		case <-ctx.Done():
			return errors.Errorf("instance %s not ready within %s", n.in.Host.ID(), readyTimeout)
		case <-ticker.C:
		}
	}
	return nil
}
