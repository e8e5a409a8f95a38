//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// notRun is the panic of a case that could not run.
type notRun string

// stand is what one case plays with.
type stand struct {
	trouble   bool
	store     *platformtest.Store
	instances []*instance
	engines   []*engine
	dir       string
	began     time.Time

	mu     sync.Mutex
	record *bufio.Writer // guarded by mu
	file   *os.File
	closed bool // guarded by mu
}

func newStand(record string, trouble bool) (*stand, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &stand{trouble: trouble, store: platformtest.NewStore(), dir: dir, began: time.Now(), record: bufio.NewWriter(file), file: file}
	s.store.StatesNoEra.Store(true) // the pages name no era
	s.note("trouble: %v", trouble)
	return s, nil
}

// log writes a line to the record.
func (s *stand) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	fmt.Fprintf(s.record, "%9.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line to the record and to standard output.
func (s *stand) note(format string, args ...any) {
	s.log(format, args...)
	fmt.Printf("%9.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (s *stand) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	_ = s.record.Flush()
	_ = s.file.Close()
	s.mu.Unlock()
	for _, in := range s.instances {
		in.kill()
	}
	_ = os.RemoveAll(s.dir)
}

// instance is one process of the deploy file.
type instance struct {
	stand                           *stand
	name, zone                      string
	frontend, readiness, peer, info string
	mu                              sync.Mutex
	cmd                             *exec.Cmd     // guarded by mu
	exited                          chan struct{} // guarded by mu
}

// memoryMB is the memory of a machine of the small deployments.
const memoryMB = 284

// Ports below those that the system gives to connections by itself.
const firstPort, lastPort = 10000, 32000

var usedPorts sync.Map

// freePort returns a port that nobody listens on.
func freePort() string {
	for range 1000 {
		port := strconv.Itoa(firstPort + rand.IntN(lastPort-firstPort))
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		if l, err := net.Listen("tcp", "127.0.0.1:"+port); err == nil {
			_ = l.Close()
			return port
		}
	}
	panic(notRun("no free port"))
}

// settings returns the fields of the settings that the platform fills in.
func (in *instance) settings() map[string]string {
	port := func(address string) string { _, p, _ := net.SplitHostPort(address); return p }
	return map[string]string{
		"node_name": in.name, "zone": in.zone, "ip": "127.0.0.1",
		"listen.frontend": in.frontend, "listen.readiness": in.readiness,
		"internal_ports.0": port(in.peer), "internal_ports.1": port(in.info),
		"platform.address":      in.stand.store.Address(),
		"limits.link_mbps":      "1000.0",
		"limits.memory_mb":      strconv.Itoa(memoryMB),
		"bounds.grace_s":        "8",
		"bounds.exposure_share": "0.1", "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra": "52", "bounds.budget_window_s": "10",
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// newInstance returns an instance that is not started yet.
func (s *stand) newInstance(name, zone string) *instance {
	address := func() string { return "127.0.0.1:" + freePort() }
	in := &instance{stand: s, name: name, zone: zone, frontend: address(), readiness: address(), peer: address(), info: address()}
	s.instances = append(s.instances, in)
	return in
}

// start starts the process with a settings file that is filled in from the template.
func (in *instance) start() {
	template, err := os.ReadFile("deploy/savoryfoldd.ini.tmpl")
	if err != nil {
		panic(notRun(err.Error()))
	}
	fields := in.settings()
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		value, ok := fields[strings.Trim(p, "{}")]
		if !ok {
			panic(notRun("the template has an unknown field " + p))
		}
		return value
	})
	path := filepath.Join(in.stand.dir, in.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(notRun(err.Error()))
	}
	output, err := os.OpenFile(filepath.Join(in.stand.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(notRun(err.Error()))
	}
	defer output.Close()
	cmd := exec.Command("target/savoryfoldd")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYFOLD_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(notRun(err.Error()))
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	in.stand.log("%s started, process %d", in.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		in.stand.log("%s ended: %v", in.name, err)
		close(exited)
	}()
}

func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}

// running reports whether the process has not ended.
func (in *instance) running() bool {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (in *instance) kill() {
	in.mu.Lock()
	cmd, exited := in.cmd, in.exited
	in.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (in *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + in.readiness + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts instances and waits until all are ready, and for another while: the
// deployments start their traffic 10 s after the machines.
func (s *stand) startAll(settle time.Duration, instances ...*instance) {
	for _, in := range instances {
		in.start()
	}
	end := time.Now().Add(15 * time.Second)
	for _, in := range instances {
		for !in.ready() {
			if time.Now().After(end) {
				log, _ := os.ReadFile(filepath.Join(s.dir, in.name+".log"))
				panic(notRun(in.name + " is not ready: " + string(log[:min(len(log), 2000)])))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(settle)
}

// put writes a value to the store as the operator or an engine does.
func (s *stand) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.store.Put(topic, key, data)
}

// Topics of the store.
const (
	topicOp      = "keyed.op"
	topicServers = "keyed.servers"
	topicStatus  = "keyed.status"
)

type fields = map[string]any

// config returns a configuration with the limits of the small deployments.
func config(version int, routes, services []fields) fields {
	return fields{
		"version": version, "routes": routes, "services": services,
		"limits":  fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []fields{{"name": "bozi300", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

const (
	apiKey = "9dnn2ctnfzs989anu6ws"
	host   = "jepu9.example"
)

func plainService(name string) fields {
	return fields{"name": name, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
}

func plainRoute(name, prefix, kind, service string, attempts int) fields {
	return fields{
		"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": 1500, "goal_ms": 300, "priority": 2, "service": service,
		"max_attempts": attempts, "phases": []fields{}, "public": false, "sticky": false, "resumable": false,
	}
}

// newID returns the ID of a client attempt.
func (s *stand) newID(n int) string { return fmt.Sprintf("%08x%08x", uint32(s.began.UnixNano()), n) }

// answer is what a client got for one attempt.
type answer struct {
	status int // 0 if the connection ended without an answer
	signed bool
	body   string
	err    error
	// kept is true if the attempt was sent on a connection of an earlier one.
	kept bool
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, no whole answer, kept=%v: %v", a.status, a.kept, a.err)
	}
	return fmt.Sprintf("%d signed=%v %q", a.status, a.signed, strings.TrimSpace(a.body))
}

// client keeps its connection for many requests.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// send sends one client attempt. It is never repeated by this client.
func (c *client) send(in *instance, method, path, id string, deadline time.Duration, body []byte) answer {
	return c.sendWith(in, method, path, id, deadline, body, nil)
}

// sendWith is like send, with more headers.
func (c *client) sendWith(in *instance, method, path, id string, deadline time.Duration, body []byte, headers map[string]string) answer {
	r, err := http.NewRequest(method, "http://"+in.frontend+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	var kept bool
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}))
	resp, err := c.http.Do(r)
	if err != nil {
		return answer{err: err, kept: kept}
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(resp.Body); err != nil {
		return answer{status: resp.StatusCode, err: err, kept: kept}
	}
	return answer{status: resp.StatusCode, signed: resp.Header.Get("Server-Signature") != "", body: text.String(), kept: kept}
}
