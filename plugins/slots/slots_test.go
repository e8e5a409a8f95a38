package slots

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// network carries requests between the instances of a test.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]kernel.PeerHandler // by instance and method
	lose     string                                   // method whose answers are lost
}

// port is one instance's end of the network.
type port struct {
	net  *network
	self string
}

func (p *port) Handle(method string, h kernel.PeerHandler) {
	if p.net.handlers[p.self] == nil {
		p.net.handlers[p.self] = make(map[string]kernel.PeerHandler)
	}
	p.net.handlers[p.self][method] = h
}

func (p *port) Call(ctx context.Context, m kernel.Member, method string, body []byte) ([]byte, error) {
	answer, err := p.net.handlers[m.ID][method](ctx, p.self, body)
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.lose == method {
		return nil, errors.New("lost")
	}
	return answer, err
}

// members is a fixed view of all instances of a test.
type members struct{ view kernel.MemberView }

func (m *members) View() *kernel.MemberView           { return &m.view }
func (m *members) Subscribe(func(*kernel.MemberView)) {}
func (m *members) SetState(kernel.MemberState)        {}

// cluster makes n instances over one server with the limit 2.
func cluster(t *testing.T, n int) ([]*Slots, *network) {
	t.Helper()
	network := &network{handlers: make(map[string]map[string]kernel.PeerHandler)}
	var all []kernel.Member
	for i := range n {
		all = append(all, kernel.Member{ID: fmt.Sprintf("i%d", i), Zone: "hobart", State: kernel.MemberReady})
	}
	var out []*Slots
	for _, m := range all {
		settings, err := kernel.Schema().Load("t.ini", []byte("[instance]\nid = "+m.ID+"\nzone = hobart\nsettle = 0s\n"))
		if err != nil {
			t.Fatal(err)
		}
		h := &kernel.Host{
			Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
			Peers: &port{network, m.ID}, Membership: &members{kernel.MemberView{Self: m, Members: all}},
			Decisions: kernel.Decisions{
				Placement: &policy.RoundRobin{}, Limits: policy.AdaptiveLimits{}, Queues: policy.FIFOQueues{},
			},
		}
		s := &Slots{loans: make(map[loanID]*loan)}
		if err := s.Provision(h); err != nil {
			t.Fatal(err)
		}
		tables, err := config.ParseTables("t.ini", []byte("[pool p]\ncold_limit = 2\nlimit = 2\nserver.s = zone=hobart addr=127.0.0.1:1\n"))
		if err != nil {
			t.Fatal(err)
		}
		tables.Revision = 1
		h.SetTables(tables)
		out = append(out, s)
	}
	return out, network
}

const server = "p/s"

func deadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Minute)
}

func TestBorrow(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("Given nine instances and a server that takes two calls", t, func() {
		all, _ := cluster(t, 9)
		var poor *Slots
		for _, s := range all {
			if s.host.IdleSlots(server) == 0 {
				poor = s
			}
		}
		So(poor, ShouldNotBeNil)
		ctx, cancel := deadline()
		defer cancel()
		Convey("an instance without a share gets both slots and no third", func() {
			first, ok := poor.Borrow(ctx, server)
			So(ok, ShouldBeTrue)
			second, ok := poor.Borrow(ctx, server)
			So(ok, ShouldBeTrue)
			_, ok = poor.Borrow(ctx, server)
			So(ok, ShouldBeFalse)
			Convey("and slots given back can be had again", func() {
				first()
				second()
				poor.pending.Wait()
				again, ok := poor.Borrow(ctx, server)
				So(ok, ShouldBeTrue)
				again()
			})
		})
		Reset(func() {
			for _, s := range all {
				So(s.Stop(context.Background()), ShouldBeNil)
			}
		})
	})
}

func TestLostGrantIsGivenBack(t *testing.T) {
	Convey("A slot whose grant was lost is free again at the lender", t, func() {
		all, network := cluster(t, 3)
		var poor *Slots
		for _, s := range all {
			if s.host.IdleSlots(server) == 0 {
				poor = s
			}
		}
		network.lose = methodBorrow
		ctx, cancel := deadline()
		defer cancel()
		_, ok := poor.Borrow(ctx, server)
		So(ok, ShouldBeFalse)
		poor.pending.Wait()
		idle := 0
		for _, s := range all {
			idle += s.host.IdleSlots(server)
		}
		So(idle, ShouldEqual, 2)
	})
}

func TestLeaseEnds(t *testing.T) {
	Convey("A slot whose borrower died comes back when the lease ends", t, func() {
		all, _ := cluster(t, 1)
		s := all[0]
		release, ok := s.host.Lend(server)
		So(ok, ShouldBeTrue)
		So(s.lend(loanID{"dead", 1}, release, time.Millisecond), ShouldBeTrue)
		limit := time.Now().Add(30 * time.Second)
		for s.host.IdleSlots(server) < 2 && time.Now().Before(limit) {
			time.Sleep(time.Millisecond)
		}
		So(s.host.IdleSlots(server), ShouldEqual, 2)
	})
	Convey("A loan that was given back before it was asked for is not lent", t, func() {
		all, _ := cluster(t, 1)
		s := all[0]
		_, err := s.handleReturn(context.Background(), "a", encode(returnRequest{9}))
		So(err, ShouldBeNil)
		answer, err := s.handleBorrow(context.Background(), "a", encode(borrowRequest{server, 60_000, 9}))
		So(err, ShouldBeNil)
		So(answer, ShouldResemble, encode(borrowAnswer{false}))
		So(s.host.IdleSlots(server), ShouldEqual, 2)
		_, err = s.handleBorrow(context.Background(), "a", encode(borrowRequest{server, math.MaxInt64, 10}))
		So(err, ShouldNotBeNil)
	})
	Convey("Only the borrower ends a loan", t, func() {
		all, _ := cluster(t, 1)
		release, _ := all[0].host.Lend(server)
		all[0].lend(loanID{"a", 7}, release, time.Minute)
		So(all[0].end(loanID{"b", 7}), ShouldBeFalse)
		So(all[0].end(loanID{"a", 7}), ShouldBeTrue)
	})
}
