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

// fakeNetwork carries calls between the instances of a test.
type fakeNetwork struct {
	mu            sync.Mutex
	handlers      map[string]map[string]kernel.PeerHandler // by instance and method
	dropResponses string                                   // method whose responses are lost
}

// fakePeers is one instance's connection to the fake network.
type fakePeers struct {
	net  *fakeNetwork
	self string
}

func (p *fakePeers) Handle(method string, h kernel.PeerHandler) {
	if p.net.handlers[p.self] == nil {
		p.net.handlers[p.self] = make(map[string]kernel.PeerHandler)
	}
	p.net.handlers[p.self][method] = h
}

func (p *fakePeers) Call(ctx context.Context, m kernel.Member, method string, body []byte) ([]byte, error) {
	response, err := p.net.handlers[m.ID][method](ctx, p.self, body)
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.dropResponses == method {
		return nil, errors.New("lost")
	}
	return response, err
}

// fakeMembership is a fixed member list of all instances of a test.
type fakeMembership struct{ view kernel.MemberView }

func (m *fakeMembership) View() *kernel.MemberView           { return &m.view }
func (m *fakeMembership) Subscribe(func(*kernel.MemberView)) {}
func (m *fakeMembership) SetState(kernel.MemberState)        {}

// cluster makes n instances that share one server with the limit 2.
func cluster(t *testing.T, n int) ([]*Slots, *fakeNetwork) {
	t.Helper()
	network := &fakeNetwork{handlers: make(map[string]map[string]kernel.PeerHandler)}
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
			Peers: &fakePeers{network, m.ID}, Membership: &fakeMembership{kernel.MemberView{Self: m, Members: all}},
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

func withDeadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Minute)
}

func TestBorrow(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("Given nine instances and a server with the limit 2", t, func() {
		all, _ := cluster(t, 9)
		var withoutShare *Slots
		for _, s := range all {
			if s.host.IdleSlots(server) == 0 {
				withoutShare = s
			}
		}
		So(withoutShare, ShouldNotBeNil)
		ctx, cancel := withDeadline()
		defer cancel()
		Convey("an instance without a share borrows both slots and no third", func() {
			first, ok := withoutShare.Borrow(ctx, server)
			So(ok, ShouldBeTrue)
			second, ok := withoutShare.Borrow(ctx, server)
			So(ok, ShouldBeTrue)
			_, ok = withoutShare.Borrow(ctx, server)
			So(ok, ShouldBeFalse)
			Convey("and a returned slot can be borrowed again", func() {
				first()
				second()
				withoutShare.pendingReturns.Wait()
				again, ok := withoutShare.Borrow(ctx, server)
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

func TestLostGrantIsReturned(t *testing.T) {
	Convey("A slot is returned to the lender if the response that granted it is lost", t, func() {
		all, network := cluster(t, 3)
		var withoutShare *Slots
		for _, s := range all {
			if s.host.IdleSlots(server) == 0 {
				withoutShare = s
			}
		}
		network.dropResponses = methodBorrow
		ctx, cancel := withDeadline()
		defer cancel()
		_, ok := withoutShare.Borrow(ctx, server)
		So(ok, ShouldBeFalse)
		withoutShare.pendingReturns.Wait()
		idle := 0
		for _, s := range all {
			idle += s.host.IdleSlots(server)
		}
		So(idle, ShouldEqual, 2)
	})
}

func TestLeaseEnds(t *testing.T) {
	Convey("The lender gets a slot back when the lease of a crashed borrower expires", t, func() {
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
	Convey("A loan that was returned before the request for it arrives is denied", t, func() {
		all, _ := cluster(t, 1)
		s := all[0]
		_, err := s.handleReturn(context.Background(), "a", encode(returnRequest{9}))
		So(err, ShouldBeNil)
		response, err := s.handleBorrow(context.Background(), "a", encode(borrowRequest{server, 60_000, 9}))
		So(err, ShouldBeNil)
		So(response, ShouldResemble, encode(borrowResponse{false}))
		So(s.host.IdleSlots(server), ShouldEqual, 2)
		_, err = s.handleBorrow(context.Background(), "a", encode(borrowRequest{server, math.MaxInt64, 10}))
		So(err, ShouldNotBeNil)
	})
	Convey("Only the borrower of a loan can end it", t, func() {
		all, _ := cluster(t, 1)
		release, _ := all[0].host.Lend(server)
		all[0].lend(loanID{"a", 7}, release, time.Minute)
		So(all[0].endLoan(loanID{"b", 7}), ShouldBeFalse)
		So(all[0].endLoan(loanID{"a", 7}), ShouldBeTrue)
	})
}
