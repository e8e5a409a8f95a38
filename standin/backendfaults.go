package standin

import (
	"math/rand/v2"
	"time"
)

// defaultDown is the time that a crashed backend server is absent.
const defaultDown = time.Second

// Faults are the faults of a backend server. Parts are from 0 to 1.
type Faults struct {
	// Fail is the part of the calls that end with status 500 after their work.
	Fail float64 `json:"fail,omitempty"`
	// Slow multiplies the time of the work; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// WrongID is the part of the answers that name another call.
	WrongID float64 `json:"wrong_id,omitempty"`
	// Cut is the part of the answers that end before their end.
	Cut float64 `json:"cut,omitempty"`
	// Refuse is the part of the calls that are refused and not run.
	Refuse float64 `json:"refuse,omitempty"`
	// Silent makes the connections that exist now silent for good.
	Silent bool `json:"silent,omitempty"`
	// TurnCold turns the server cold now.
	TurnCold bool `json:"turn_cold,omitempty"`
	// Crash ends all connections and restarts the server cold, now.
	Crash bool `json:"crash,omitempty"`
	// CrashOn crashes the server when a request contains the text.
	CrashOn string `json:"crash_on,omitempty"`
	// DownMS is the time that a crashed server is absent; 0 means 1000.
	DownMS int `json:"down_ms,omitempty"`
	// Bad are the versions that are bad.
	Bad []BadVersion `json:"bad,omitempty"`
}

// BadVersion says how and when a version is bad.
type BadVersion struct {
	Version string `json:"version"`
	// After is the number of calls that the version serves well first.
	After int `json:"after,omitempty"`
	// Load is the number of concurrent calls from which the version is bad.
	Load int `json:"load,omitempty"`
	// Route is the only value of the request's field "route" for which the
	// version is bad; empty means all.
	Route string `json:"route,omitempty"`
	// Slow multiplies the time of the work; 0 means that calls fail.
	Slow float64 `json:"slow,omitempty"`
}

// applies reports whether a call meets the version's fault.
func (b BadVersion) applies(version string, served, concurrent int, route string) bool {
	return b.Version == version && served >= b.After && concurrent >= b.Load && (b.Route == "" || b.Route == route)
}

func (f Faults) down() time.Duration {
	if f.DownMS == 0 {
		return defaultDown
	}
	return time.Duration(f.DownMS) * time.Millisecond
}

// verdict is what befalls one call.
type verdict struct {
	fail, wrongID, cut, bad bool
	slow                    float64
}

// judge draws what befalls a call.
func (f Faults) judge(version string, served, concurrent int, route string) verdict {
	v := verdict{fail: draw(f.Fail), wrongID: draw(f.WrongID), cut: draw(f.Cut), slow: max(f.Slow, 1)}
	for _, b := range f.Bad {
		if !b.applies(version, served, concurrent, route) {
			continue
		}
		v.bad = true
		if b.Slow > 0 {
			v.slow *= b.Slow
		} else {
			v.fail = true
		}
	}
	return v
}

func draw(part float64) bool { return part > 0 && rand.Float64() < part }
