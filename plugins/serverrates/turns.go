package serverrates

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// askTimeout bounds a call to a grantor. Round trips take milliseconds.
	askTimeout = 200 * time.Millisecond
	// grantorAvoidTime is how long a grantor that did not respond is not called again.
	grantorAvoidTime = time.Second
	// maxGrantors is the number of instances that may grant turns for one server.
	maxGrantors = 2
	// noGrantorWait is how long an instance waits if it can reach no grantor.
	noGrantorWait = 300 * time.Millisecond
	// maxPendingReports bounds the reports to grantors that wait to be sent.
	maxPendingReports = 256
	// lowestPriority is less urgent than any request.
	lowestPriority = math.MaxInt
)

// limited returns the state of a server whose rate is limited, or nil if it is not, and
// whether the server counts as cold.
func (m *Rates) limited(now time.Time, q kernel.TurnRequest) (r *serverRate, cold bool) {
	cold = (q.Cold || q.Server.Cold(now)) && m.coldRate(q.Server) > 0
	r = m.lookup(q.Server)
	if r == nil && cold {
		return m.add(q.Server), true
	}
	if r == nil || cold {
		return r, cold
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate() == 0 {
		return nil, false
	}
	return r, false
}

// coldRate returns the rate of requests per second that a server accepts while it is
// cold, 0 if it has none.
func (m *Rates) coldRate(server *catalog.Server) float64 {
	view := m.host.Catalogs.Catalog()
	if view == nil {
		return 0
	}
	service := view.Service(server.Service)
	if service == nil {
		return 0
	}
	return service.ColdRate
}

// RateLimited implements kernel.ServerRates.
func (m *Rates) RateLimited(now time.Time, q kernel.TurnRequest) bool {
	r, _ := m.limited(now, q)
	return r != nil
}

// lowerRate returns the lower of two rates, of which 0 means none.
func lowerRate(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// TurnDelay implements kernel.ServerRates.
func (m *Rates) TurnDelay(now time.Time, q kernel.TurnRequest) kernel.TurnDelay {
	if wait := m.pauseWait(now, q); wait > 0 {
		return kernel.TurnDelay{For: wait, Paused: true}
	}
	r, _ := m.limited(now, q)
	if r == nil {
		return kernel.TurnDelay{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return kernel.TurnDelay{For: r.wait.Remaining(now, q.Priority)}
}

// AcquireTurn implements kernel.ServerRates.
func (m *Rates) AcquireTurn(ctx context.Context, q kernel.TurnRequest) kernel.SendTurn {
	now := time.Now()
	if wait := m.pauseWait(now, q); wait > 0 {
		return kernel.SendTurn{Delay: kernel.TurnDelay{For: wait, Paused: true}}
	}
	r, cold := m.limited(now, q)
	if r == nil {
		return kernel.SendTurn{Granted: true}
	}
	r.mu.Lock()
	wait, rate := r.wait.Remaining(now, q.Priority), r.rate()
	r.usedAt = now
	r.mu.Unlock()
	if cold {
		rate = lowerRate(rate, m.coldRate(q.Server))
	}
	if wait > 0 {
		return kernel.SendTurn{Delay: kernel.TurnDelay{For: wait}, Rate: rate}
	}
	// A caller that leaves meanwhile must not make the server seem without turns.
	turn := m.ask(context.WithoutCancel(ctx), r, turnRequest{Turn: true, Cold: cold, Priority: q.Priority})
	result := "granted"
	if !turn.Granted {
		result = "denied"
		r.mu.Lock()
		r.wait.Denied(time.Now(), turn.RetryIn, q.Priority)
		r.mu.Unlock()
	}
	m.host.Counter(`server_turns{service="` + q.Server.Service + `",result="` + result + `"}`).Inc(1)
	if wait := m.pauseWait(time.Now(), q); wait > 0 {
		return kernel.SendTurn{Delay: kernel.TurnDelay{For: wait, Paused: true}, Rate: rate}
	}
	return kernel.SendTurn{Granted: turn.Granted, Delay: kernel.TurnDelay{For: turn.RetryIn}, Rate: rate}
}

// ask sends a request to the server's grantors in turn, until one responds.
func (m *Rates) ask(ctx context.Context, r *serverRate, q turnRequest) policy.Turn {
	q.Server, q.Start = r.server.ID, r.server.StartUnixMilli
	q.Instance = m.host.ID()
	r.mu.Lock()
	if r.limit.Known() {
		q.Statement = encodeStatement(time.Now(), r.limit.InForce())
	}
	r.mu.Unlock()
	ranking := kernel.FleetRanking(r.server.ID, r.server.Zone, m.roster.members(m.host))
	for _, grantor := range ranking[:min(maxGrantors, len(ranking))] {
		if grantor.ID == m.host.ID() {
			if response := m.grant(time.Now(), q); !response.Refused {
				return response.turn()
			}
			continue
		}
		if grantor.Address == "" || m.host.PeerCalls == nil || m.avoided.Active(grantor.ID, time.Now()) {
			continue
		}
		began := time.Now()
		response, err := m.call(ctx, grantor, q)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			m.avoid(grantor, err)
			continue
		}
		if response.Refused {
			continue
		}
		now := time.Now()
		if s, ok := response.Statement.decode(now, now.Sub(began)); ok {
			m.observe(now, r.server, s, grantor.ID)
			r.mu.Lock()
			r.grantorDiffers = s.Rate != r.rate()
			r.mu.Unlock()
		}
		return response.turn()
	}
	return policy.Turn{RetryIn: noGrantorWait}
}

func (m *Rates) avoid(grantor kernel.FleetMember, err error) {
	m.avoided.Add(grantor.ID, time.Now().Add(grantorAvoidTime))
	m.host.Counter("server_turn_calls_failed").Inc(1)
	m.host.Logger.Info("instance that grants turns does not respond", "grantor", grantor.ID, "for", grantorAvoidTime, "error", err)
}

// call calls a grantor.
func (m *Rates) call(ctx context.Context, grantor kernel.FleetMember, q turnRequest) (turnResponse, error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		panic("serverrates: encode request: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	data, err := m.host.PeerCalls.CallPeer(ctx, grantor.Address, turnsPath, body)
	if err != nil {
		return turnResponse{}, err
	}
	var response turnResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return turnResponse{}, errors.Wrap(err, "decode turn")
	}
	if response.RetryIn < 0 || response.RetryIn > limitTTL {
		return turnResponse{}, errors.Errorf("turn to ask for again in %v", response.RetryIn)
	}
	return response, nil
}

// serveTurns serves the request of another instance.
func (m *Rates) serveTurns(w http.ResponseWriter, r *http.Request) {
	var q turnRequest
	if err := cbor.NewDecoder(http.MaxBytesReader(w, r.Body, maxTurnRequestBytes)).Decode(&q); err != nil {
		m.host.Counter("server_turn_requests_invalid").Inc(1)
		http.Error(w, "no request for a turn", http.StatusBadRequest)
		return
	}
	body, err := cbor.Marshal(m.grant(time.Now(), q))
	if err != nil {
		panic("serverrates: encode response: " + err.Error())
	}
	_, _ = w.Write(body) // a peer that has disconnected needs no response
}

// grant decides on a request of this or another instance.
func (m *Rates) grant(now time.Time, q turnRequest) turnResponse {
	view := m.host.Catalogs.Catalog()
	if view == nil {
		return turnResponse{Refused: true}
	}
	server := view.Server(q.Server)
	if server == nil || server.StartUnixMilli != q.Start {
		return turnResponse{Refused: true}
	}
	if s, ok := q.Statement.decode(now, askTimeout); ok && q.Instance != m.host.ID() {
		m.observe(now, server, s, q.Instance)
	}
	var r *serverRate
	if q.Cold || server.Cold(now) {
		r = m.add(server)
	} else if r = m.lookup(server); r == nil {
		return turnResponse{Granted: true}
	}
	role := m.roster.role(now, m.host, server)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usedAt = now
	var response turnResponse
	if r.limit.Known() {
		response.Statement = encodeStatement(now, r.limit.InForce())
	}
	rate := r.rate()
	if q.Cold || server.Cold(now) {
		rate = lowerRate(rate, m.coldRate(server))
	}
	turn := policy.Turn{Granted: true}
	switch {
	case !q.Turn || rate == 0:
	case role.Rank < 0 || role.Rank >= maxGrantors:
		response.Refused = true
	default:
		turn = r.division.Take(now, policy.GrantableRate(rate, role), q.Instance, q.Priority)
	}
	response.Granted, response.RetryIn = turn.Granted, turn.RetryIn
	return response
}

// report passes a changed limit on to the server's grantor.
func (m *Rates) report(r *serverRate) {
	select {
	case m.reports <- r:
	default:
		m.host.Counter("server_rate_reports_dropped").Inc(1) // the next request for a turn has the limit too
	}
}

// sendReports sends reports until the context ends.
func (m *Rates) sendReports(ctx context.Context) {
	for {
		select {
		case r := <-m.reports:
			m.ask(ctx, r, turnRequest{})
		case <-ctx.Done():
			return
		}
	}
}
