// Package crowd tests real processes against many callers that do not keep to the limits of
// the configuration, or that stop in the middle of a request and stay connected.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/harness"
	"github.com/savoryfold/savoryfold/test/loopback"
)

// The instance has half of the memory and of the descriptors of the smallest machines, which
// have 144 MB and 3,075.
const (
	memory      = 72 << 20
	descriptors = 1537
	// callers is the number of callers in the large crowd. Each keeps one connection.
	callers = 1600
	// smallCrowd is the number of callers in the small crowd.
	smallCrowd = 10
	// accounts is the number of client accounts whose keys the callers use.
	accounts = 40
	// reconnectDelay is the delay after which a caller whose connection was closed connects
	// again.
	reconnectDelay = 200 * time.Millisecond
	// hold is how long the crowd stays once each caller has sent all it sends or was refused.
	hold = time.Second
	// patience bounds every wait for a condition.
	patience = 30 * time.Second

	host        = "app.example"
	headerBytes = 16 << 10 // limit of the configuration
	bodyBytes   = 1 << 20  // limit of the configuration
)

// kind is what the callers of a crowd send before they stop.
type kind struct {
	name string
	// path is that of the requests, "/once/" if empty.
	path string
	// header holds additional header lines of a complete head.
	header string
	// raw is all that is sent, in place of a head and a body.
	raw string
	// body is what follows the head.
	body string
	// key is the API key, if it is not that of one of the accounts.
	key string
	// address returns where the callers connect, the address for callers if it is nil.
	address func(p *process) string
	// protocol is the one that callers negotiate by TLS; empty means a connection without TLS.
	protocol string
	// large are the parts of a body that all callers share, which follow what bytes returns.
	large []string
	// then is what a caller does once all of this is sent, in place of nothing. It returns when
	// ctx or the connection ends.
	then func(ctx context.Context, conn net.Conn)
}

const chunked = "Transfer-Encoding: chunked\r\n"

// shortHeaders returns headers of few bytes each, which take many times their size once they
// are parsed, up to a number of bytes.
func shortHeaders(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes-16; i++ {
		b.WriteString("x" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

func chunk(bytes int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes))
}

var kinds = []kind{
	{name: "large chunks, one byte short of the end", header: chunked, body: fmt.Sprintf("%x\r\n", 64<<10) + strings.Repeat("x", 64<<10-1)},
	{name: "chunks of one byte, without the last one", header: chunked, body: strings.Repeat("1\r\nx\r\n", 10_000)},
	{name: "long chunk extensions", header: chunked, body: strings.Repeat("1;"+strings.Repeat("e", 3000)+"\r\nx\r\n", 5)},
	{name: "a trailer without an end", header: chunked, body: chunk(1000) + "0\r\n" + strings.Repeat("X-Trailer: value\r\n", 10_000)},
	{name: "a body one byte short of its length", header: "Content-Length: 60000\r\n", body: strings.Repeat("x", 59_999)},
	{name: "a body of the largest length, almost nothing of it sent", header: fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), body: "x"},
	{name: "a head without an end", raw: "POST /once/x HTTP/1.1\r\nHost: " + host + "\r\n" + shortHeaders(headerBytes-200)},
	{name: "a head just within the limit, then no body", header: shortHeaders(headerBytes-400) + chunked, body: "1"},
	{name: "no valid key", header: chunked, body: chunk(1000), key: "none"},
	{name: "no valid key, a head just within the limit", header: shortHeaders(headerBytes-400) + chunked, body: chunk(1000), key: "none"},
	{name: "no such route", path: "/none/", header: chunked, body: chunk(1000)},
	{name: "a public route", path: "/open/", header: chunked, body: chunk(30_000)},
	{name: "nothing", raw: " "},
	{name: "complete requests, then nothing", path: "/again/", header: "Content-Length: 1\r\n", body: "x"},
	{name: "complete requests whose responses are not read", path: "/long/", header: "Content-Length: 1\r\n", body: "x"},
	{name: "streams that are not read", path: "/stream/", header: "Content-Length: 1\r\n", body: "x"},
}

// bytes returns what a caller sends.
func (k kind) bytes(in *process, id string, account int) string {
	if k.raw != "" {
		return strings.TrimSpace(k.raw)
	}
	path, key := in.path, k.key
	if k.path != "" {
		path = k.path + "x"
	}
	if key == "" {
		key = in.key(account)
	}
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id + "\r\nAuthorization: Bearer " + key + "\r\n" +
		"Deadline-Ms: 20000\r\n" + k.header + "\r\n" + k.body
}

func keyOf(account int) string { return fmt.Sprint("key-", account%accounts) }

// crowd is many callers.
type crowd struct {
	instance *process
	kinds    []kind
	// oneAccount is true if all callers use the key of one account.
	oneAccount bool
	// arrived counts the callers that have sent all they send, or were refused.
	arrived atomic.Int64
	running sync.WaitGroup
}

// start starts callers, which connect again if their connection is closed until ctx ends.
func (c *crowd) start(ctx context.Context, n int) {
	for i := range n {
		c.running.Go(func() {
			arrived := sync.OnceFunc(func() { c.arrived.Add(1) })
			for round := 0; ctx.Err() == nil; round++ {
				c.call(ctx, i, round, arrived)
				arrived()
				pause(ctx)
			}
		})
	}
}

// call connects, sends what a caller sends, calls sent, and stays until the connection is
// closed or ctx ends. It reads nothing.
func (c *crowd) call(ctx context.Context, caller, round int, sent func()) {
	k := c.kinds[(caller+round)%len(c.kinds)]
	account := caller
	if c.oneAccount {
		account = 0
	}
	address := c.instance.listen
	if k.address != nil {
		address = k.address(c.instance)
	}
	conn, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if k.sendsMuch() {
		// What the instance does not read keeps a caller waiting, who then has sent all it can.
		defer time.AfterFunc(hold, sent).Stop()
		_ = conn.(*net.TCPConn).SetWriteBuffer(callerBuffer)
	}
	if err := k.converse(ctx, conn, k.bytes(c.instance, fmt.Sprint(caller, "-", round), account)); err != nil {
		return
	}
	sent()
	for ctx.Err() == nil && !closed(conn) {
		pause(ctx)
	}
}

// pause waits for reconnectDelay or until ctx ends.
func pause(ctx context.Context) {
	select {
	case <-time.After(reconnectDelay):
	case <-ctx.Done():
	}
}

// process is an instance, a process of its own.
type process struct {
	*harness.Process
	listen string
	// path is that of ordinary requests. key returns the API key of a client account.
	path string
	key  func(account int) string
	// files is the largest number of open descriptors seen.
	files int
	// machine is what the process may use.
	machine machine
	// readiness, metrics, peer and admin are other addresses that the process listens on.
	readiness, metrics, peer, admin string
	// client sends ordinary requests, over TLS, unless it is nil.
	client *http.Client
}

// machine is what a process may use, and the largest body of a request.
type machine struct{ memory, descriptors, bodyBytes int }

// smallMachine is half of the smallest machine.
var smallMachine = machine{memory: memory, descriptors: descriptors, bodyBytes: bodyBytes}

// peak returns the largest resident memory so far, in bytes. The test fails if the process
// has ended.
func (p *process) peak(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if err != nil || !found {
		t.Fatalf("the instance has ended: %v\n%s", err, p.Log())
	}
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kib << 10
}

// countFiles updates the largest number of open descriptors.
func (p *process) countFiles(t *testing.T) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		t.Fatalf("the instance has ended: %v\n%s", err, p.Log())
	}
	p.files = max(p.files, len(files))
}

// ordinaryBody is the body of an ordinary request, a JSON text.
var ordinaryBody = `"` + strings.Repeat("b", 2000) + `"`

// request sends an ordinary request and reports whether it was served.
func (p *process) request(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	send := platformtest.Send
	if p.client != nil {
		send = p.sendTLS
	}
	resp, err := send(ctx, platformtest.Request{
		Address: p.listen, Method: http.MethodPost, Host: host, Path: p.path, ID: id, APIKey: p.key(0), Timeout: 4 * time.Second, Body: ordinaryBody,
	})
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && len(body) > 0
}

// eventually waits until a condition holds, and counts descriptors meanwhile.
func (p *process) eventually(t *testing.T, what string, condition func() bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.countFiles(t)
		if condition() {
			return
		}
	}
	t.Fatalf("condition does not hold after %v: %s; peak memory %d MiB, descriptors %d\n%s", patience, what, p.peak(t)>>20, p.files, p.Log())
}

// startPlatform starts a store and the servers of the instances' routes.
func startPlatform(t *testing.T, bodyBytes int) *platformtest.Store {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	cfg := platformtest.Config{Version: 1, BodyBytes: int64(bodyBytes), Keys: make(map[string]string), Services: []platformtest.Service{
		{Name: "app", Connections: 2000}, {Name: "large", Connections: 2000}, {Name: "llm", Engine: true, Connections: 2000}, {Name: "slow", Connections: 2000},
	}}
	for i := range accounts {
		cfg.Keys[keyOf(i)] = fmt.Sprint("account-", i)
	}
	for _, r := range []platformtest.Route{
		{Name: "once", Kind: "non_idempotent", Service: "app"}, {Name: "again", Kind: "idempotent", Service: "app"},
		{Name: "open", Kind: "idempotent", Service: "app", Public: true},
		{Name: "long", Kind: "non_idempotent", Service: "large"}, {Name: "stream", Kind: "streaming", Service: "llm"},
		{Name: "wait", Kind: "non_idempotent", Service: "slow"},
	} {
		r.Host, r.Prefix, r.TimeoutMS, r.GoalMS, r.Attempts = host, "/"+r.Name+"/", 20_000, 500, 1
		cfg.Routes = append(cfg.Routes, r)
	}
	store.PutConfig(cfg)
	large := strings.Repeat("r", 200<<10)
	for service, do := range map[string]func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest){
		"app": func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			platformtest.Respond(w, 200, "ok")
		},
		"large": func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			platformtest.Respond(w, 200, large)
		},
		"llm": func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			platformtest.Stream(w, 1, 20_000)
		},
		"slow": func(_ http.ResponseWriter, r *http.Request, _ platformtest.ReceivedRequest) { <-r.Context().Done() },
	} {
		b := platformtest.NewBackend(service + "-1")
		t.Cleanup(b.Close)
		b.Do = do
		store.PutServer(platformtest.Entry{ID: service + "-1", Service: service, Address: b.Address(), Zone: "z1", Version: "v1", Slots: 1000, Born: 1, Sequence: 1})
	}
	return store
}

// startInstance starts an instance and waits until it serves.
func startInstance(t *testing.T, program string) *process { return startOn(t, program, smallMachine) }

// startOn starts an instance on a machine.
func startOn(t *testing.T, program string, m machine) *process {
	store := startPlatform(t, m.bodyBytes)
	address := func() string {
		a, err := loopback.FreeAddress("tcp")
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	metrics := address()
	settings := platformtest.Settings{
		ID: "e1", Zone: "z1", Store: store.Address(), Peer: address(), Listen: address(), Readiness: address(),
		MemberTTL: time.Second, Drain: 200 * time.Millisecond, RepeatExtra: 10_000, Extra: m.limits() + "metrics = " + metrics + "\n",
	}
	file := filepath.Join(t.TempDir(), "e1.ini")
	if err := os.WriteFile(file, []byte(settings.Text()), 0o600); err != nil {
		t.Fatal(err)
	}
	h, err := harness.Start("e1", false, program, "--settings", file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Kill)
	p := &process{
		Process: h, machine: m, listen: settings.Listen, readiness: settings.Readiness, metrics: metrics, peer: settings.Peer, path: "/once/x", key: keyOf,
	}
	p.eventually(t, "the instance is ready", func() bool { return platformtest.Ready(settings.Readiness) })
	p.eventually(t, "the instance serves", func() bool { return p.request("first") })
	return p
}

// limits returns the settings of the section [forward] that bound what the instance uses.
func (m machine) limits() string {
	return fmt.Sprintf("memory = %d\ndescriptors = %d\n", m.memory, m.descriptors)
}

// startOwn starts an instance that serves the project's own interface, and waits until it
// serves.
func startOwn(t *testing.T, programs harness.Binaries) *process {
	return startOwnWith(t, programs, ownLimits)
}

// startOwnWith starts such an instance with settings of the test.
func startOwnWith(t *testing.T, programs harness.Binaries, settings harness.Settings) *process {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c, err := harness.Launch(ctx, harness.Spec{
		Binaries: programs, Dir: t.TempDir(), Zones: []string{"z1"},
		Pools: map[string]string{"encode": "limit = 64\n", "slow": "limit = 1024\n"},
		Routes: map[string]string{
			"answer": "deadline = 20s\nstages = encode\nencode.pool = encode\n", "wait": "deadline = 20s\nstages = slow\nslow.pool = slow\n",
		},
		Accounts: map[string]float64{"yard": 1},
		Backends: []harness.Backend{
			{FleetMember: standin.FleetMember{Name: "encode-1", WorkMS: 2}, Pool: "encode", Zone: "z1"},
			{FleetMember: standin.FleetMember{Name: "slow-1", WorkMS: 10_000, Capacity: 1024}, Pool: "slow", Zone: "z1"},
		},
		Settings: settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	in := c.Instances[0]
	p := &process{
		Process: in.Process, machine: smallMachine, listen: in.Entry, admin: in.Admin, path: "/v1/routes/answer", key: func(int) string { return "yard-key" },
	}
	if settings["entry"]["tls_cert"] != "" {
		p.client = clientTLS()
	}
	p.eventually(t, "the instance serves", func() bool { return p.request("first") })
	return p
}

// ownLimits are the settings that bound what the own interface uses.
var ownLimits = harness.Settings{"entry": {"memory": strconv.Itoa(memory), "descriptors": strconv.Itoa(descriptors)}}

// play lets callers come to an instance and leave, and checks what it uses and that ordinary
// requests are served.
func play(t *testing.T, p *process, n int, c *crowd) {
	before := p.peak(t)
	used := p.watchMemory()
	c.instance = p
	ctx, leave := context.WithCancel(context.Background())
	defer c.running.Wait()
	defer leave()
	c.start(ctx, n)
	p.eventually(t, "all callers have sent what they send", func() bool { return c.arrived.Load() >= int64(n) })
	for end := time.Now().Add(hold); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.countFiles(t)
	}
	attempts := 0
	served := func() bool { attempts++; return p.request(fmt.Sprint("ordinary-", attempts)) }
	p.eventually(t, "an ordinary request is served while the crowd stays", served)
	leave()
	c.running.Wait()
	p.eventually(t, "an ordinary request is served afterwards", served)
	peak := p.peak(t)
	most := used()
	t.Logf("memory %d MiB before, at most %d MiB; at most %d descriptors; %d ordinary requests until two were served", before>>20, peak>>20, p.files, attempts)
	t.Logf("received and not read at most %d MiB, sent and not accepted at most %d MiB; with the resident memory at most %d MiB", most.unread>>20, most.unsent>>20, most.total>>20)
	Convey("The instance runs and stays within its memory and its descriptors", t, func() {
		So(p.Running(), ShouldBeTrue)
		So(peak, ShouldBeLessThan, p.machine.memory)
		So(most.total, ShouldBeLessThan, p.machine.memory)
		So(p.files, ShouldBeLessThan, p.machine.descriptors)
	})
}

// TestCrowd guards against an instance that ends, exceeds its memory or descriptors, or no
// longer serves ordinary callers, because of callers that stop in the middle of a request and
// stay connected.
func TestCrowd(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1") // the smallest machines have one core
	programs, err := harness.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { play(t, startInstance(t, programs.Instance), callers, &crowd{kinds: []kind{k}}) })
	}
	for _, k := range []struct {
		name    string
		callers int
		crowd   *crowd
	}{
		{"all at once", callers, &crowd{kinds: kinds}},
		{"all at once, keys of one account", callers, &crowd{kinds: kinds, oneAccount: true}},
		{"all at once, few callers", smallCrowd, &crowd{kinds: kinds}},
	} {
		t.Run(k.name, func(t *testing.T) { play(t, startInstance(t, programs.Instance), k.callers, k.crowd) })
	}
	for _, k := range []struct {
		name  string
		kinds []kind
	}{
		{"bodies", kinds[:6]}, {"heads", kinds[6:10]}, {"all at once", kinds},
	} {
		t.Run("own interface, "+k.name, func(t *testing.T) { play(t, startOwn(t, programs), callers, &crowd{kinds: k.kinds}) })
	}
}
