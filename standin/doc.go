// Package standin simulates the external systems that savoryfold talks to: model
// engines, plain services, the platform's log service, its list of instances,
// its weight store and its load balancer. It is used by tests and by the
// quickstart only.
//
// # Backend servers
//
// A stage call is a POST to the stage's path with the headers
// Savoryfold-Call-Id, Savoryfold-Deadline-Ms, Savoryfold-Priority and, for
// stages that are not idempotent, Idempotency-Key. The body is JSON:
//
//	{"request": the caller's body, "results": {stage name: its response, ...}}
//
// The response echoes Savoryfold-Call-Id and carries Savoryfold-Engine-Ms,
// Savoryfold-Tokens and Savoryfold-Load, a load report as JSON. With
// "Accept: text/event-stream" an engine sends one event per token, with
// sequential ids from 1, and ends with the event "done", whose data is
//
//	{"engine_ms": 12.5, "tokens": 16, "load": {...}}
//
// A stream is resumed with the header Last-Event-ID. An engine's response
// depends only on the request and the version, so that another engine of the
// same version can resume it. Closing the connection cancels the call.
//
// A rejected call that did not run is answered with the header
// Savoryfold-Not-Run: true. The status is 503 or 429 if another server may
// accept the call, and another 4xx if the request itself is invalid.
//
//	GET  /v1/load              {"running": 3, "waiting": 0, "warm": 1, "boot": "...", "version": "v1", "at": "..."}
//	GET  /v1/cache-events?from=N   {"next": M, "events": [{"seq": N, "op": "stored" or "evicted", "prefix": "hash"}]}
//	POST /v1/orders            {"fence": 17, "version": "v2", "role": "both"}; 409 for an older fence if the engine checks fencing tokens
//	GET  /v1/orders            {"fence": 17, "version": "v2", "role": "both", "loading": false}
//	GET  /executions           {"key": times run} (plain services)
//	GET  /stats                counters: calls, maximum concurrency, maximum while cold, cancelled, restarts
//	GET  /calls                the log of calls: call ID, key, version, start, end
//
// The fields tokens, prompt_tokens, prefix, prefix_tokens, work_ms and route of
// the caller's request control the simulated work; see Work. A cold server is
// slow and crashes when it receives more calls than its limit; see WarmUp.
//
// # Platform
//
//	POST /v1/records?stream=S                    append the body as one record: {"offset": N}
//	GET  /v1/records?stream=S&from=N&wait_ms=W   {"records": [...], "first": F, "first_time": T, "next": M}
//	GET  /v1/instances                           [{"id": "hobart-1", "zone": "hobart", "state": "live" or "leaving", "gossip_address": "...", "peer_address": "..."}]
//	PUT  /v1/instances/{id}                      register or change an instance
//	GET  /v1/weights/{version}                   the weights, at the store's rate limit
//
// Faults can be injected into each of these at run time: GET /faults returns the
// active faults, and PUT /faults replaces all of them. See Faults, LogFaults,
// InstanceListFaults and WeightFaults.
package standin
