package forward

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

// explainDraws is the number of choices that an explanation makes: a part of them is random.
const explainDraws = 200

// ExplainChoice implements kernel.ChoiceExplainer. It decides by the functions that decide on
// requests. The zone of the results of stages is not known before they run, so that the
// instance's zone counts as near.
func (f *Forward) ExplainChoice(now time.Time, q kernel.ChoiceQuery) (kernel.ChoiceExplanation, error) {
	if f.host.Catalogs == nil || f.host.Catalogs.Catalog() == nil {
		return kernel.ChoiceExplanation{}, kernel.ErrNoCatalog
	}
	view := f.host.Catalogs.Catalog()
	x := kernel.ChoiceExplanation{Instance: f.host.ID(), At: now, Config: int64(view.Config.Version), Refusals: []string{}, Stages: []kernel.ChoiceStage{}, Servers: []kernel.ChoiceServer{}}
	refuse := func(refused bool, reason string) {
		if refused {
			x.Refusals = append(x.Refusals, reason)
		}
	}
	path, _, _ := strings.Cut(q.Path, "?")
	route := findRoute(view, &http.Request{Host: q.Host, URL: &url.URL{Path: path, RawPath: path}})
	if route == nil {
		refuse(true, "no such route")
		return x, nil
	}
	r := &request{view: view, route: route, began: now, versionDraw: rand.Float64(), call: decodeQuery(q)}
	r.service = view.Service(cmp.Or(q.Service, mostWeight(route)))
	x.Route = route.Name
	if r.service == nil {
		refuse(true, "the route's service is not configured")
		return x, nil
	}
	x.Service = r.service.Name
	if view.Config.RequiresKey && !route.Public {
		r.account = view.Account(r.call.APIKey)
		refuse(r.account == nil, "unknown API key")
	}
	x.Account = r.accountName()
	r.setTimes()
	r.promptKey, r.sharedTokens = promptKey(&r.call)
	r.sharedParts = sharedParts(&r.call)
	refuse(!f.stop.Fits(now, route.Name, r.deadline).Fits, "the instance stops before the request could end")
	refuse(f.host.PartGuard != nil && len(r.sharedParts) > 0 && f.host.PartGuard.RefuseParts(r.sharedParts), "parts of the prompt are known to crash servers")
	if len(route.Stages) > 0 && f.host.Stages != nil {
		for _, s := range route.Stages {
			waits := f.host.Stages.Forecast(now, s.Service)
			x.Stages = append(x.Stages, kernel.ChoiceStage{Service: s.Service, InTimeMillis: waits.InTime.Milliseconds(), LateMillis: waits.Late.Milliseconds()})
		}
		forecast := f.forecast(now, r, -1)
		refuse(now.Add(forecast.InTime).After(r.goal) && now.Add(forecast.Late).After(r.deadline), "the stages cannot be done in time")
	}
	candidates := f.explainServers(now, r, &x)
	refuse(candidates == 0, "no server of the service can take the request")
	return x, nil
}

// decodeQuery decodes the headers of a query.
func decodeQuery(q kernel.ChoiceQuery) platform.Call {
	h := make(http.Header, len(q.Header))
	for name, value := range q.Header {
		h.Set(name, value)
	}
	call, _ := platform.DecodeCall(h) // the ID does not matter
	return call
}

// mostWeight returns the service that gets most requests of a route.
func mostWeight(r *catalog.Route) string {
	if len(r.Targets) == 0 {
		return ""
	}
	return slices.MaxFunc(r.Targets, func(a, b catalog.Target) int { return cmp.Compare(a.Weight, b.Weight) }).Service
}

// explainServers adds the servers of the request's service to an explanation, and returns the
// number of candidates.
func (f *Forward) explainServers(now time.Time, r *request, x *kernel.ChoiceExplanation) int {
	usable, snapshots := f.candidates(now, r)
	candidate := make(map[string]bool, len(usable))
	for _, c := range usable {
		candidate[c.server.ID] = true
	}
	delays := make(map[string]kernel.TurnDelay)
	for i, c := range usable {
		delays[c.server.ID] = f.host.TurnDelay(now, turnRequest(r, c, snapshots[i]))
	}
	usable, snapshots, _ = f.withTurn(now, r, usable, snapshots)
	shares, reasons := make(map[string]float64), make(map[string]string)
	for range explainDraws {
		if i, reason := f.pick(r, usable, snapshots, policy.PreferInputZone(r.inputBytes, r.sharedTokens)); i != policy.NoServer {
			id := usable[i].server.ID
			shares[id] += 1.0 / explainDraws
			reasons[id] = string(reason)
		}
	}
	view := f.host.Catalogs.Catalog()
	for _, s := range view.Servers(r.service.Name) {
		l := f.servers.get(s).snapshot(now)
		e := kernel.ChoiceServer{ID: s.ID, Zone: s.Zone, Share: shares[s.ID], Reason: reasons[s.ID], InFlight: l.inFlight, Load: -1, AgeMillis: -1, Pace: l.figure.pace, RestPace: l.figure.rest, FirstByteMillis: l.firstByteTime.Milliseconds()}
		if l.figure.known {
			e.Load, e.AgeMillis = l.figure.load, l.figure.age.Milliseconds()
		}
		switch delay := delays[s.ID]; {
		case s.Draining:
			e.Excluded = "leaving"
		case !view.Usable(s):
			e.Excluded = "its zone is out"
		case !l.usable:
			e.Excluded = "ejected"
		case !candidate[s.ID]:
			e.Excluded = "another version is chosen"
		case delay.For > 0 && delay.Paused:
			e.Excluded, e.RetryInMillis = "it has asked for a pause", delay.For.Milliseconds()
		case delay.For > 0:
			e.Excluded, e.RetryInMillis = "its request rate is used up", delay.For.Milliseconds()
		}
		x.Servers = append(x.Servers, e)
	}
	slices.SortStableFunc(x.Servers, func(a, b kernel.ChoiceServer) int { return cmp.Compare(b.Share, a.Share) })
	return len(usable)
}
