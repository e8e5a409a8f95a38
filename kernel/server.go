package kernel

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// Server is the runtime state of one backend server. It lives as long as the
// tables name the server with the same address.
type Server struct {
	Config config.Server
	// ID is "pool/name".
	ID   string
	hash uint64

	inFlight  atomic.Int64
	sent      atomic.Int64 // calls sent since the last load report
	done      atomic.Int64 // calls finished since the last load report
	expected  atomic.Int64 // smoothed call time in nanoseconds
	report    atomic.Pointer[policy.LoadReport]
	allowance atomic.Int64 // this instance's share of the limit
	cold      atomic.Bool
	ejected   atomic.Int64 // Unix nanoseconds until which the server is ejected

	mu    sync.Mutex
	limit policy.ServerLimit // guarded by mu
}

// Weight of a new sample in the smoothed call time: 1/8.
const smoothing = 8

func newServer(c config.Server, pool *config.Pool, limits policy.Limits, now time.Time) *Server {
	s := &Server{
		Config: c,
		ID:     c.Pool + "/" + c.Name,
	}
	s.hash = xxhash.Sum64String(s.ID)
	s.limit = limits.New(now, policy.LimitConfig{Cold: pool.ColdLimit, Max: pool.Limit})
	return s
}

// acquire takes a call slot if one is free.
func (s *Server) acquire() bool {
	for {
		n := s.inFlight.Load()
		if n >= s.allowance.Load() {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			s.sent.Add(1)
			return true
		}
	}
}

// release gives a call slot back.
func (s *Server) release() {
	s.inFlight.Add(-1)
	s.done.Add(1)
}

// observe takes the result of a call into the server's state.
func (s *Server) observe(now time.Time, sample policy.CallSample) {
	if sample.OK {
		s.smooth(sample.Latency)
	}
	s.mu.Lock()
	s.limit.Observe(now, sample)
	s.mu.Unlock()
}

func (s *Server) smooth(latency time.Duration) {
	old := s.expected.Load()
	if old == 0 {
		s.expected.Store(int64(latency))
		return
	}
	s.expected.Store(old + (int64(latency)-old)/smoothing)
}

// Report takes a load report of the server.
func (s *Server) Report(now time.Time, r policy.LoadReport) {
	old := s.report.Load()
	if old != nil && !r.At.After(old.At) {
		return
	}
	s.report.Store(&r)
	s.sent.Store(0)
	s.done.Store(0)
	s.mu.Lock()
	s.limit.Report(now, r)
	s.mu.Unlock()
}

// refresh works out this instance's share of the limit.
func (s *Server) refresh(now time.Time, limits policy.Limits, rank, members int) {
	s.mu.Lock()
	limit := s.limit.Limit(now)
	cold := s.limit.Cold(now)
	s.mu.Unlock()
	s.cold.Store(cold)
	s.allowance.Store(int64(limits.Share(limit, rank, members)))
}

// candidate is what placement sees of the server.
func (s *Server) candidate(usable bool, zone string) policy.Candidate {
	c := policy.Candidate{
		Usable:   usable,
		Local:    s.Config.Zone == zone,
		InFlight: int(s.inFlight.Load()),
		Limit:    int(s.allowance.Load()),
		Expected: time.Duration(s.expected.Load()),
		ID:       s.hash,
	}
	if r := s.report.Load(); r != nil {
		c.Reported = max(0, r.Running+r.Waiting+int(s.sent.Load()-s.done.Load()))
	}
	return c
}

// ServerDump is a server's state as dumped.
type ServerDump struct {
	ID        string             `json:"id"`
	Zone      string             `json:"zone"`
	Address   string             `json:"address"`
	Version   string             `json:"version,omitempty"`
	InFlight  int64              `json:"in_flight"`
	Allowance int64              `json:"allowance"`
	Cold      bool               `json:"cold"`
	Expected  string             `json:"expected"`
	Ejected   string             `json:"ejected_until,omitempty"`
	Report    *policy.LoadReport `json:"report,omitempty"`
}

func (s *Server) dump() ServerDump {
	d := ServerDump{
		ID: s.ID, Zone: s.Config.Zone, Address: s.Config.Address, Version: s.Config.Version,
		InFlight: s.inFlight.Load(), Allowance: s.allowance.Load(), Cold: s.cold.Load(),
		Expected: time.Duration(s.expected.Load()).String(),
		Report:   s.report.Load(),
	}
	if until := s.ejected.Load(); until > 0 {
		d.Ejected = time.Unix(0, until).UTC().Format(time.RFC3339Nano)
	}
	return d
}
