package orders

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
	"github.com/savoryfold/savoryfold/standin"
)

const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testbed is a log service with engines that start with version v1.
type testbed struct {
	t          *testing.T
	service    *standin.LogService
	servers    []*standin.Server
	addresses  []string
	engines    []*standin.Engine
	mu         sync.Mutex
	maxLoading int // most engines seen loading at once; guarded by mu
	stops      []func()
}

func newTestbed(t *testing.T, engines int) *testbed {
	s := &testbed{t: t, service: standin.NewLogService(0, 0)}
	s.listen(s.service.Handler())
	for i := range engines {
		e := &standin.Engine{Backend: standin.Backend{Name: fmt.Sprint("e", i), Version: "v1"}, LoadTime: 50 * time.Millisecond, Fenced: i%2 == 0}
		s.engines = append(s.engines, e)
		s.addresses = append(s.addresses, s.listen(s.countLoading(e.Handler())))
	}
	return s
}

func (s *testbed) listen(h http.Handler) string {
	server, err := standin.Listen("127.0.0.1:0", h)
	if err != nil {
		s.t.Fatal(err)
	}
	s.servers = append(s.servers, server)
	return server.Address()
}

// countLoading counts the engines that are loading after each order.
func (s *testbed) countLoading(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if r.Method != http.MethodPost {
			return
		}
		loading := 0
		for _, address := range s.addresses {
			if state, err := (engineClient{http.DefaultClient}).state(context.Background(), address); err == nil && state.Loading {
				loading++
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.maxLoading = max(s.maxLoading, loading)
	})
}

// tables returns tables that specify a version for every engine. Engines alternate
// between two zones.
func (s *testbed) tables(revision uint64, version string) *config.Tables {
	var b strings.Builder
	b.WriteString("[pool p]\nversioned = true\n")
	for i, address := range s.addresses {
		fmt.Fprintf(&b, "server.e%d = zone=%s addr=%s version=%s\n", i, []string{"hobart", "burnie"}[i%2], address, version)
	}
	t, err := config.ParseTables("t.ini", []byte(b.String()))
	if err != nil {
		s.t.Fatal(err)
	}
	t.Revision = revision
	return t
}

func (s *testbed) start(id, zone string, t *config.Tables) *Orders {
	settings, err := kernel.Schema().Load("t.ini", []byte("[instance]\nid = "+id+"\nzone = "+zone+"\n[orders]\npoll = 20ms\n"))
	if err != nil {
		s.t.Fatal(err)
	}
	client := platform.NewLogClient(s.servers[0].Address(), time.Second)
	h := &kernel.Host{Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Log: client,
		Decisions: kernel.Decisions{Limits: policy.FixedLimits{}, Queues: policy.FIFOQueues{}}}
	o := &Orders{}
	if err := errors.Join(o.Provision(h), o.Validate(), o.Start(context.Background())); err != nil {
		s.t.Fatal(err)
	}
	h.SetTables(t)
	s.stops = append(s.stops, func() { _ = o.Stop(context.Background()); client.Close() })
	return o
}

func (s *testbed) close() {
	for _, stop := range s.stops {
		stop()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

func (s *testbed) state(i int) engineState {
	state, err := engineClient{http.DefaultClient}.state(context.Background(), s.addresses[i])
	if err != nil {
		s.t.Fatal(err)
	}
	return state
}

// waitForVersion waits until every engine runs a version.
func (s *testbed) waitForVersion(version string) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		loaded := 0
		for i := range s.engines {
			if state := s.state(i); state.Version == version && !state.Loading {
				loaded++
			}
		}
		if loaded == len(s.engines) {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("only %d engines run %s at the test timeout", loaded, version)
		}
	}
}

func TestEnginesLoadTableVersion(t *testing.T) {
	Convey("Given engines in two zones with an instance each, where half of the engines check fencing tokens", t, func() {
		s := newTestbed(t, 6)
		defer s.close()
		Convey("engines load the tables' version, and never more than half of the pool at once", func() {
			t1 := s.tables(5, "v2")
			a, b := s.start("a", "hobart", t1), s.start("b", "burnie", t1)
			s.waitForVersion("v2")
			s.mu.Lock()
			So(s.maxLoading, ShouldBeBetweenOrEqual, 1, 3)
			s.mu.Unlock()
			first := s.state(0).Fence
			Convey("a late order to an engine that ignores fencing tokens is overridden", func() {
				late := engineState{Fence: 1, Version: "v1", Role: roleBoth}
				So(engineClient{http.DefaultClient}.send(context.Background(), s.addresses[1], late), ShouldBeNil)
				s.waitForVersion("v2")
				So(engineClient{http.DefaultClient}.send(context.Background(), s.addresses[0], engineState{Version: "v1"}), ShouldEqual, errFenced)
			})
			Convey("fencing tokens grow, and an instance with older tables sends no order", func() {
				t2 := s.tables(6, "v3")
				So(a.host.SetTables(t2), ShouldBeTrue)
				So(b.host.SetTables(t2), ShouldBeTrue)
				s.waitForVersion("v3")
				So(s.state(0).Fence, ShouldBeGreaterThan, first)
				old := &Orders{}
				So(old.Provision(a.host), ShouldBeNil)
				sent := old.placeOrder(context.Background(), t1, t1.Pools["p"].Servers[0])
				So(sent, ShouldBeFalse)
				So(s.state(0).Version, ShouldEqual, "v3")
			})
		})
		Convey("without the log no order is sent", func() {
			s.service.Set(standin.LogFaults{Down: true})
			o := s.start("a", "hobart", s.tables(5, "v2"))
			for end := time.Now().Add(testTimeout); o.host.Counter(`orders{result="unrecorded"}`).Count() < 2; time.Sleep(5 * time.Millisecond) {
				So(time.Now(), ShouldHappenBefore, end)
			}
			So(s.state(0).Version, ShouldEqual, "v1")
		})
	})
}

func FuzzDecodeOrder(f *testing.F) {
	f.Add([]byte{0xa1, 0x02, 0x61, 'x'})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = decodeOrder(data) })
}
