package loadreport_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/kernel"
	_ "github.com/savoryfold/savoryfold/plugins/standard" // all plug-ins
	"github.com/savoryfold/savoryfold/standin"
)

const testTimeout = 30 * time.Second

type instance struct {
	*kernel.Instance
	done chan error
}

func startInstance(id, zone, tables, seed string) *instance {
	text := fmt.Sprintf(`[instance]
id = %s
zone = %s
[entry]
listen = 127.0.0.1:0
drain = 1ms
[policy]
configsource = file
claims = memory
[tables]
file = %s
[membership]
gossip_listen = 127.0.0.1:0
secrets = secret-a-0123456789
interval = 50ms
suspect_after = 10s
gone_after = 20s
seeds = %s
[loadreport]
interval = 50ms
`, id, zone, tables, seed)
	settings, err := kernel.Schema().Load("test.ini", []byte(text))
	So(err, ShouldBeNil)
	in, err := kernel.NewInstance(settings, slog.New(slog.DiscardHandler), &slog.LevelVar{})
	So(err, ShouldBeNil)
	i := &instance{Instance: in, done: make(chan error, 1)}
	go func() { i.done <- in.Run(context.Background()) }()
	eventually(func() bool { return in.State() == kernel.StateReady })
	return i
}

func (i *instance) stop() {
	i.Shutdown()
	So(<-i.done, ShouldBeNil)
}

// hasReport reports whether the instance has a load report of the pool's server.
func (i *instance) hasReport() bool {
	servers := i.Dump().Pools["encode"].Servers
	return len(servers) == 1 && servers[0].Report != nil
}

func (i *instance) polls() int64 {
	return i.Host.Counter(`loadreport_polls{result="ok",pool="encode"}`).Count()
}

func eventually(ok func() bool) {
	for limit := time.Now().Add(testTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			So("the condition", ShouldEqual, "met before the test timeout")
		}
	}
}

func TestLoadReports(t *testing.T) {
	Convey("One instance of the server's zone polls it, and all instances get its report", t, func() {
		server, err := standin.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"running": 3, "warm": 1, "boot": "x", "version": "v1", "at": %q}`, time.Now().Format(time.RFC3339Nano))
		}))
		So(err, ShouldBeNil)
		defer server.Close()
		tables := filepath.Join(t.TempDir(), "tables.ini")
		text := "[pool encode]\nserver.one = zone=hobart addr=" + server.Address() + "\n"
		So(os.WriteFile(tables, []byte(text), 0o600), ShouldBeNil)

		a := startInstance("a", "burnie", tables, "")
		eventually(a.hasReport) // zone hobart has no instance yet, so that a polls
		b := startInstance("b", "hobart", tables, a.Host.Membership.View().Self.GossipAddress)
		eventually(func() bool { return b.polls() > 0 })
		eventually(func() bool { return len(a.Host.Membership.View().Live()) == 2 })
		eventually(func() bool { return a.Host.Counter(`digest_received{kind="load.0"}`).Count() > 0 })
		So(b.hasReport(), ShouldBeTrue)

		before := a.polls()
		after := b.polls() + 10
		eventually(func() bool { return b.polls() > after })
		So(a.polls()-before, ShouldBeLessThanOrEqualTo, 1)

		b.stop()
		eventually(func() bool { return a.polls() > before+2 })
		a.stop()
	})
}
