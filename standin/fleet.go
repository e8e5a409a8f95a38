package standin

import (
	"net/http"
	"time"
)

// FleetMember is the JSON configuration of one backend server of a fleet; see
// Backend, WarmUp, Service and Engine.
type FleetMember struct {
	Name    string `json:"name"`
	Engine  bool   `json:"engine"`
	Version string `json:"version,omitempty"`
	// Capacity is the maximum number of concurrent calls.
	Capacity    int     `json:"capacity,omitempty"`
	ReportLagMS int     `json:"report_lag_ms,omitempty"`
	Cold        bool    `json:"cold,omitempty"`
	ColdLimit   int     `json:"cold_limit,omitempty"`
	WarmMS      int     `json:"warm_ms,omitempty"`
	WarmCalls   int     `json:"warm_calls,omitempty"`
	ColdSlow    float64 `json:"cold_slow,omitempty"`
	// WorkMS is the duration of a call of a service.
	WorkMS float64 `json:"work_ms,omitempty"`
	// Tokens, StepMS, PerCallMS and PerPromptMS configure an engine.
	Tokens      int     `json:"tokens,omitempty"`
	StepMS      float64 `json:"step_ms,omitempty"`
	PerCallMS   float64 `json:"per_call_ms,omitempty"`
	PerPromptMS float64 `json:"per_prompt_ms,omitempty"`
	CacheTokens int     `json:"cache_tokens,omitempty"`
	Fenced      bool    `json:"fenced,omitempty"`
	Weights     string  `json:"weights,omitempty"`
	LoadMS      int     `json:"load_ms,omitempty"`
}

// Handler creates the backend server and returns its HTTP handler.
func (m FleetMember) Handler() http.Handler {
	if !m.Engine {
		s := &Service{Work: duration(m.WorkMS)}
		m.configure(&s.Backend)
		return s.Handler()
	}
	e := &Engine{
		Tokens: m.Tokens, Step: duration(m.StepMS), PerCall: duration(m.PerCallMS), PerPrompt: duration(m.PerPromptMS),
		CacheTokens: m.CacheTokens, Fenced: m.Fenced, Weights: m.Weights, LoadTime: duration(float64(m.LoadMS)),
	}
	m.configure(&e.Backend)
	return e.Handler()
}

func (m FleetMember) configure(b *Backend) {
	b.Name, b.Version, b.Capacity = m.Name, m.Version, m.Capacity
	b.ReportLag = duration(float64(m.ReportLagMS))
	b.WarmUp = WarmUp{
		Cold: m.Cold, ColdLimit: m.ColdLimit, Time: duration(float64(m.WarmMS)), Calls: m.WarmCalls, Slow: m.ColdSlow,
	}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
