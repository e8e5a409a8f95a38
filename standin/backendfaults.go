package standin

import (
	"math/rand/v2"
	"time"
)

// defaultDowntime is how long a crashed backend server resets connections.
const defaultDowntime = time.Second

// Faults are the injected faults of a backend server. Fail, WrongID, Truncate, Refuse,
// RepeatRefusal and WrongResume are probabilities from 0 to 1.
type Faults struct {
	// Fail is the probability that a call ends with status 500 after its work.
	Fail float64 `json:"fail,omitempty"`
	// Slow multiplies the duration of a call; values below 1 mean 1.
	Slow float64 `json:"slow,omitempty"`
	// WrongID is the probability that a response carries the ID of another call.
	WrongID float64 `json:"wrong_id,omitempty"`
	// Truncate is the probability that a response is truncated.
	Truncate float64 `json:"cut,omitempty"`
	// BreakAt is the place at which truncated responses break off.
	BreakAt BreakPlace `json:"cut_at,omitempty"`
	// Refuse is the probability that a call is rejected without running.
	Refuse float64 `json:"refuse,omitempty"`
	// RepeatRefusal is the probability that a call runs and the server then sends its last
	// refusal, of another call, again in place of the response.
	RepeatRefusal float64 `json:"repeat_refusal,omitempty"`
	// WrongResume is the probability that a stream to be resumed begins with events that
	// were sent before, or leaves one out.
	WrongResume float64 `json:"wrong_resume,omitempty"`
	// Blackhole discards all further data of the connections that are open now;
	// new connections work.
	Blackhole bool `json:"silent,omitempty"`
	// TurnCold makes the server cold once, without a restart.
	TurnCold bool `json:"turn_cold,omitempty"`
	// Crash resets all connections and restarts the server cold, once.
	Crash bool `json:"crash,omitempty"`
	// CrashOn crashes the server on a request that contains this text.
	CrashOn string `json:"crash_on,omitempty"`
	// DownMS is how long a crashed server resets connections; 0 means 1000.
	DownMS int `json:"down_ms,omitempty"`
	// Bad lists the faulty versions.
	Bad []BadVersion `json:"bad,omitempty"`
}

// BadVersion describes a faulty version. A call hits the fault if it matches all
// conditions.
type BadVersion struct {
	Version string `json:"version"`
	// AfterCalls is the number of calls that the version serves before the fault.
	AfterCalls int `json:"after,omitempty"`
	// MinConcurrent is the minimum number of concurrent calls at which the fault
	// occurs.
	MinConcurrent int `json:"load,omitempty"`
	// Route restricts the fault to requests whose field "route" has this value;
	// empty means all requests.
	Route string `json:"route,omitempty"`
	// Slow multiplies the duration of a call; 0 means that the call fails.
	Slow float64 `json:"slow,omitempty"`
}

// applies reports whether a call hits the fault.
func (b BadVersion) applies(version string, served, concurrent int, route string) bool {
	return b.Version == version && served >= b.AfterCalls && concurrent >= b.MinConcurrent && (b.Route == "" || b.Route == route)
}

func (f Faults) downtime() time.Duration {
	if f.DownMS == 0 {
		return defaultDowntime
	}
	return time.Duration(f.DownMS) * time.Millisecond
}

// callFaults are the faults that apply to one call.
type callFaults struct {
	fail, wrongID, truncate, badVersion bool
	repeatRefusal, wrongResume          bool
	breakAt                             BreakPlace
	slowdown                            float64
}

// drawCallFaults determines the faults of a call, at random where they are
// probabilities.
func (f Faults) drawCallFaults(version string, served, concurrent int, route string) callFaults {
	v := callFaults{
		fail: chance(f.Fail), wrongID: chance(f.WrongID), truncate: chance(f.Truncate), breakAt: f.BreakAt,
		repeatRefusal: chance(f.RepeatRefusal), wrongResume: chance(f.WrongResume), slowdown: max(f.Slow, 1),
	}
	v.truncate = v.truncate && !v.repeatRefusal
	for _, b := range f.Bad {
		if !b.applies(version, served, concurrent, route) {
			continue
		}
		v.badVersion = true
		if b.Slow > 0 {
			v.slowdown *= b.Slow
		} else {
			v.fail = true
		}
	}
	return v
}

// chance returns true with the given probability.
func chance(probability float64) bool { return probability > 0 && rand.Float64() < probability }
