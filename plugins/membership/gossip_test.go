package membership

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/savoryfold/savoryfold/kernel"
)

const (
	secretA     = "secret-a-0123456789"
	secretB     = "secret-b-0123456789"
	testTimeout = 30 * time.Second
)

// TestMain checks for leaked goroutines. It ignores those of the worker pool that
// gnet starts on import and never stops.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
	)
}

// startGossip starts the module without the rest of an instance, with a short
// heartbeat interval.
func startGossip(id, zone string, lines ...string) *Gossip {
	return startWithDefaultInterval(id, zone, append(lines, "interval = 50ms")...)
}

// startWithDefaultInterval starts the module with the default heartbeat interval.
func startWithDefaultInterval(id, zone string, lines ...string) *Gossip {
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\n[membership]\n%s\n", id, zone, strings.Join(lines, "\n"))
	settings, err := kernel.Schema().Load("test.ini", []byte(text))
	So(err, ShouldBeNil)
	level := &slog.LevelVar{}
	in, err := kernel.NewInstance(settings, slog.New(slog.DiscardHandler), level)
	So(err, ShouldBeNil)
	g := in.Host.Membership.(*Gossip)
	So(g.Start(context.Background()), ShouldBeNil)
	g.SetState(kernel.MemberReady)
	return g
}

func secretsLine(s string) string { return "secrets = " + s }

func eventually(what string, ok func() bool) {
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	So(what, ShouldEqual, "observed in time")
}

func stateOf(g *Gossip, id string) kernel.MemberState {
	for _, m := range g.View().Members {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

func stopAll(gs ...*Gossip) {
	for _, g := range gs {
		So(g.Stop(context.Background()), ShouldBeNil)
	}
}

func TestGossip(t *testing.T) {
	const listen = "gossip_listen = 127.0.0.1:0"
	Convey("Three instances of two availability zones discover each other through one seed", t, func() {
		a := startGossip("a", "hobart", listen, secretsLine(secretA))
		seed := "seeds = " + a.GossipAddress()
		b := startGossip("b", "hobart", listen, secretsLine(secretA), seed)
		c := startGossip("c", "burnie", listen, secretsLine(secretA), seed)
		all := []*Gossip{a, b, c}
		for _, g := range all {
			eventually("all are live", func() bool { return len(g.View().Live()) == 3 })
		}

		Convey("a digest reaches an instance of the other zone, with its origin", func() {
			received := make(chan string, 16)
			c.Sink("test", func(d kernel.Digest) { received <- d.From.ID + d.From.Zone + string(d.Payload) })
			b.Source("test", func() []byte { return []byte("!") })
			select {
			case text := <-received:
				So(text, ShouldEqual, "bhobart!")
			case <-time.After(testTimeout):
				So("digest", ShouldEqual, "received in time")
			}
			stopAll(all...)
		})
		Convey("an instance that stops is gone in the views of the others", func() {
			stopAll(b)
			eventually("gone", func() bool { return stateOf(a, "b") == kernel.MemberGone && stateOf(c, "b") == kernel.MemberGone })
			stopAll(a, c)
		})
		Convey("a forged datagram and a replayed one are refused and add no member", func() {
			sender, err := net.Dial("udp", a.GossipAddress())
			So(err, ShouldBeNil)
			defer sender.Close()
			_, err = sender.Write(bytes.Repeat([]byte{1}, 200))
			So(err, ShouldBeNil)
			b.mu.Lock()
			now := time.Now()
			packets := b.pack(now, b.table.Tick(now))
			b.mu.Unlock()
			for range 2 {
				_, err = sender.Write(packets[0].raw)
				So(err, ShouldBeNil)
			}
			for _, reason := range []string{"forged", "replayed"} {
				refused := a.host.Counter(`gossip_refused{reason="` + reason + `"}`)
				eventually(reason, func() bool { return refused.Count() > 0 })
			}
			So(len(a.View().Members), ShouldEqual, 3)
			stopAll(all...)
		})
	})
	Convey("Secrets are rotated without interrupting two running instances", t, func() {
		dir := t.TempDir()
		write := func(name string, secrets ...string) string {
			file := filepath.Join(dir, name)
			So(os.WriteFile(file, []byte(strings.Join(secrets, "\n")), 0o600), ShouldBeNil)
			return file
		}
		fileA, fileB := write("a", secretA), write("b", secretA)
		a := startGossip("a", "hobart", listen, "secrets_file = "+fileA)
		b := startGossip("b", "hobart", listen, "secrets_file = "+fileB, "seeds = "+a.GossipAddress())
		eventually("live", func() bool { return len(a.View().Live()) == 2 && len(b.View().Live()) == 2 })
		steps := [][]string{{secretA, secretB}, {secretB, secretA}, {secretB}}
		for _, step := range steps {
			for _, g := range []*Gossip{a, b} {
				write(g.host.ID(), step...)
				eventually("reloaded", func() bool { return len(g.keyring.Secrets()) == len(step) && string(g.keyring.Secrets()[0]) == step[0] })
			}
		}
		received := a.counters.kinds[0].received
		before := received.Count()
		eventually("heartbeats under the new secret", func() bool { return received.Count() > before+4 })
		So(stateOf(a, "b"), ShouldEqual, kernel.MemberReady)
		So(a.host.Counter(`gossip_refused{reason="forged"}`).Count(), ShouldEqual, 0)
		stopAll(a, b)
	})
	Convey("Invalid settings are rejected, and the error does not show a secret", t, func() {
		for _, lines := range []string{
			listen,
			"gossip_listen = 0.0.0.0:0\n" + secretsLine(secretA),
			listen + "\n" + secretsLine(secretA) + "\nseeds = nowhere",
			listen + "\n" + secretsLine("short"),
		} {
			settings, err := kernel.Schema().Load("test.ini", []byte("[instance]\nid = a\nzone = z\n[membership]\n"+lines+"\n"))
			So(err, ShouldBeNil)
			_, err = kernel.NewInstance(settings, slog.New(slog.DiscardHandler), &slog.LevelVar{})
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldNotContainSubstring, secretA)
		}
	})
	Convey("Without an address to listen on, the view holds only the instance itself", t, func() {
		g := startGossip("a", "hobart")
		So(len(g.View().Members), ShouldEqual, 1)
		So(g.View().Self.State, ShouldEqual, kernel.MemberReady)
		stopAll(g)
	})
}
