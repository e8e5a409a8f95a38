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

const lastLimit = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// site is a log service and engines that were started with v1.
type site struct {
	t       *testing.T
	service *standin.LogService
	servers []*standin.Server
	names   []string
	engines []*standin.Engine
	mu      sync.Mutex
	most    int // engines that loaded at once; guarded by mu
	stops   []func()
}

func newSite(t *testing.T, engines int) *site {
	s := &site{t: t, service: standin.NewLogService(0, 0)}
	s.listen(s.service.Handler())
	for i := range engines {
		e := &standin.Engine{Backend: standin.Backend{Name: fmt.Sprint("e", i), Version: "v1"}, LoadTime: 50 * time.Millisecond, Fenced: i%2 == 0}
		s.engines = append(s.engines, e)
		s.names = append(s.names, s.listen(s.watch(e.Handler())))
	}
	return s
}

func (s *site) listen(h http.Handler) string {
	server, err := standin.Listen("127.0.0.1:0", h)
	if err != nil {
		s.t.Fatal(err)
	}
	s.servers = append(s.servers, server)
	return server.Address()
}

// watch counts the engines that load after each order.
func (s *site) watch(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if r.Method != http.MethodPost {
			return
		}
		loading := 0
		for _, address := range s.names {
			if state, err := (engineClient{http.DefaultClient}).state(context.Background(), address); err == nil && state.Loading {
				loading++
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.most = max(s.most, loading)
	})
}

// tables state a version for every engine; engines stand in two zones by turns.
func (s *site) tables(revision uint64, version string) *config.Tables {
	var b strings.Builder
	b.WriteString("[pool p]\nversioned = true\n")
	for i, address := range s.names {
		fmt.Fprintf(&b, "server.e%d = zone=%s addr=%s version=%s\n", i, []string{"hobart", "burnie"}[i%2], address, version)
	}
	t, err := config.ParseTables("t.ini", []byte(b.String()))
	if err != nil {
		s.t.Fatal(err)
	}
	t.Revision = revision
	return t
}

func (s *site) start(id, zone string, t *config.Tables) *Orders {
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

func (s *site) end() {
	for _, stop := range s.stops {
		stop()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

func (s *site) state(i int) engineState {
	state, err := engineClient{http.DefaultClient}.state(context.Background(), s.names[i])
	if err != nil {
		s.t.Fatal(err)
	}
	return state
}

// eventually waits until every engine runs a version.
func (s *site) eventually(version string) {
	s.t.Helper()
	for end := time.Now().Add(lastLimit); ; time.Sleep(5 * time.Millisecond) {
		there := 0
		for i := range s.engines {
			if state := s.state(i); state.Version == version && !state.Loading {
				there++
			}
		}
		if there == len(s.engines) {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("not within the last limit: %d engines on %s", there, version)
		}
	}
}

func TestEnginesLoadWhatTheTablesSay(t *testing.T) {
	Convey("Given engines in two zones, each with an instance, half of them checking fences", t, func() {
		s := newSite(t, 6)
		defer s.end()
		Convey("they load the tables' version, and never more than half of the pool at once", func() {
			t1 := s.tables(5, "v2")
			a, b := s.start("a", "hobart", t1), s.start("b", "burnie", t1)
			s.eventually("v2")
			s.mu.Lock()
			So(s.most, ShouldBeBetweenOrEqual, 1, 3)
			s.mu.Unlock()
			first := s.state(0).Fence
			Convey("a late order to an engine that ignores fences is overridden", func() {
				late := engineState{Fence: 1, Version: "v1", Role: roleBoth}
				So(engineClient{http.DefaultClient}.send(context.Background(), s.names[1], late), ShouldBeNil)
				s.eventually("v2")
				So(engineClient{http.DefaultClient}.send(context.Background(), s.names[0], engineState{Version: "v1"}), ShouldEqual, errFenced)
			})
			Convey("fencing numbers grow, and an issuer with older tables does not win", func() {
				t2 := s.tables(6, "v3")
				So(a.host.SetTables(t2), ShouldBeTrue)
				So(b.host.SetTables(t2), ShouldBeTrue)
				s.eventually("v3")
				So(s.state(0).Fence, ShouldBeGreaterThan, first)
				old := &Orders{}
				So(old.Provision(a.host), ShouldBeNil)
				sent := old.order(context.Background(), t1, t1.Pools["p"].Servers[0])
				So(sent, ShouldBeFalse)
				So(s.state(0).Version, ShouldEqual, "v3")
			})
		})
		Convey("without the log no order is sent", func() {
			s.service.Set(standin.LogFaults{Down: true})
			o := s.start("a", "hobart", s.tables(5, "v2"))
			for end := time.Now().Add(lastLimit); o.host.Counter(`orders{result="unrecorded"}`).Count() < 2; time.Sleep(5 * time.Millisecond) {
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
