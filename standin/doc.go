// Package standin holds small stand-ins of the systems that savoryfold meets:
// model engines, plain services, the platform's log service, its list of
// instances and its weight store. They serve tests and the quickstart only.
//
// # Backend servers
//
// A stage call is a POST to the stage's path with the headers
// Savoryfold-Call-Id, Savoryfold-Deadline-Ms, Savoryfold-Priority and, for
// stages that are not idempotent, Idempotency-Key. The body is JSON:
//
//	{"request": the caller's body, "results": {stage name: its answer, ...}}
//
// The answer echoes Savoryfold-Call-Id and carries Savoryfold-Engine-Ms,
// Savoryfold-Tokens and Savoryfold-Load, a load report as JSON. With
// "Accept: text/event-stream" an engine sends one event a token, with ids that
// count from 1, and ends with the event "done", whose data is
//
//	{"engine_ms": 12.5, "tokens": 16, "load": {...}}
//
// A stream is resumed with the header Last-Event-ID. An engine's answer is a
// function of the request and the version, so that another engine of the same
// version can go on with it. Closing the connection cancels the call.
//
// A refusal that did not run the call has the header Savoryfold-Not-Run: true,
// with status 503 or 429 if another server may take it and another 4xx if the
// request itself is at fault.
//
//	GET  /v1/load              {"running": 3, "waiting": 0, "warm": 1, "boot": "...", "version": "v1", "at": "..."}
//	GET  /v1/cache-events?from=N   {"next": M, "events": [{"seq": N, "op": "stored" or "evicted", "prefix": "hash"}]}
//	POST /v1/orders            {"fence": 17, "version": "v2", "role": "both"}; 409 for an older fence if the engine checks
//	GET  /v1/orders            {"fence": 17, "version": "v2", "role": "both", "loading": false}
//	GET  /executions           {"key": times run} (plain services)
//	GET  /stats                counters: calls, most at once, most while cold, cancelled, restarts
//	GET  /calls                the log of calls: call ID, key, version, start, end
//
// The fields tokens, prompt_tokens, prefix, prefix_tokens, work_ms and route of
// the caller's request change the work; type Work describes them. A cold server
// is slow, bears few calls and falls over when it gets more; type Warmth
// describes how it gets warm.
//
// # Platform
//
//	POST /v1/records?stream=S                    append the body as one record: {"offset": N}
//	GET  /v1/records?stream=S&from=N&wait_ms=W   {"records": [...], "first": F, "first_time": T, "next": M}
//	GET  /v1/instances                           [{"id": "hobart-1", "zone": "hobart", "state": "live" or "leaving", "gossip_address": "...", "peer_address": "..."}]
//	PUT  /v1/instances/{id}                      register or change an instance
//	GET  /v1/weights/{version}                   the weights, at the store's rate
//
// Every stand-in has a switchboard of faults at /faults, which can be changed
// while it runs: GET returns them, PUT replaces them whole. Types Faults,
// LogFaults, InstanceListFaults and WeightFaults describe them.
package standin
