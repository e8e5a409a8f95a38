//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyBytes is max_body_bytes of the configuration.
	bodyBytes = 4194304
	// The instance is the only one of tas-burnie, with 39.9 requests a second. volunteer-query
	// is 51.7 of 299.3 of them: 6.9 a second, and 17.9 while its traffic is 2.6 times as much.
	// soundPerSecond is the rest.
	soundPerSecond = 33
	burstPerSecond = 17.9
	burstInterval  = time.Second * 10 / 179
	// burstTime is that of two such bursts, one after the other.
	burstTime = 2 * 6900 * time.Millisecond
	// uploadBytes is what one user sends in a second. All together use six tenths of the
	// machine's link (link_mbps 1,000).
	uploadBytes = 420_000
	soundTime   = 18 * time.Second
	maxLost     = 3
)

// rss returns the resident memory of a process in MiB.
func rss(pid int) float64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		if value, ok := strings.CutPrefix(scanner.Text(), "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// memoryOfBodies lets many users send bodies of the permitted size at once to one of two
// instances. The platform kills a process that exceeds memory_mb. It returns what breaks LOST.
func memoryOfBodies(s *stand) []string {
	s.put(topicOp, "config", config(7, []fields{{
		"name": "r-minutes", "host": host, "path_prefix": "/minutes/", "type": "streaming", "timeout_ms": 20000, "goal_ms": 1700, "priority": 2,
		"service": "urn", "max_attempts": 1, "phases": []fields{}, "public": false, "sticky": true, "resumable": false, "gap_goal_ms": 300,
	}}, []fields{{
		"name": "urn", "health_path": "/healthz", "max_connections": 610, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 22.0,
		"engine": fields{"slots": 128, "kv_capacity": 572090},
	}}))
	for i := range 6 {
		e := &engine{stand: s, id: fmt.Sprintf("i-urn-%d", i), service: "urn", zone: "tas-hobart", version: "v1", slots: 128}
		e.respond = func(w http.ResponseWriter, r *http.Request, id string) {
			w.Header().Set("Server-Signature", "3e1b.07."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			if !sleep(r.Context(), 500*time.Millisecond) {
				return
			}
			for n := 1; n <= 10; n++ {
				if !sleep(r.Context(), 20*time.Millisecond) {
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
				w.(http.Flusher).Flush()
			}
		}
		e.start()
	}
	for i := range 2 {
		zone := []string{"tas-burnie", "tas-hobart"}[i]
		s.newInstance("edge-"+zone+"-1", zone)
	}
	s.startAll(5*time.Second, s.instances...)
	hit := s.instances[0]
	stop := make(chan struct{})
	var peak atomic.Int64 // MiB
	var killed atomic.Int64
	go func() {
		for pause(stop, 10*time.Millisecond) {
			if !hit.running() {
				continue
			}
			size := rss(hit.pid())
			peak.Store(max(peak.Load(), int64(size)))
			if size > memoryMB {
				hit.kill()
				killed.Add(1)
				s.note("%s has %.0f MiB of memory, more than memory_mb %d, and is killed", hit.name, size, memoryMB)
			}
		}
	}()

	began := time.Now()
	var mu sync.Mutex
	var lost []string
	var requests sync.WaitGroup
	clients := make([]*client, 24)
	for i := range clients {
		clients[i] = newClient()
	}
	var generators sync.WaitGroup
	generators.Go(func() {
		for k := 0; time.Since(began) < soundTime; k++ {
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / soundPerSecond))
			requests.Go(func() {
				id := s.newID(k)
				a := clients[k%len(clients)].sendWith(hit, "POST", "/minutes/one", id, 20*time.Second, make([]byte, 18000), prompt(k))
				s.log("client sent %s on a kept connection: %v", id, a)
				if a.err == nil || a.status != 0 || !a.kept {
					return // an answer, a part of one, or a new connection
				}
				for _, e := range s.engines {
					e.mu.Lock()
					for _, r := range e.runs {
						if r.id == id {
							mu.Lock()
							lost = append(lost, id)
							mu.Unlock()
						}
					}
					e.mu.Unlock()
				}
			})
		}
	})
	if s.trouble {
		generators.Go(func() {
			pause(stop, 3*time.Second)
			s.uploads(hit, &requests)
		})
	}
	generators.Wait()
	requests.Wait()
	close(stop)
	s.note("peak memory of %s: %d MiB; killed: %d", hit.name, peak.Load(), killed.Load())
	if len(lost) > maxLost {
		return []string{fmt.Sprintf("%d requests on kept connections that %s had passed on to sound engines ended without an answer when it exceeded its memory, the first %s", len(lost), hit.name, lost[0])}
	}
	return nil
}

func prompt(k int) map[string]string {
	return map[string]string{"Model": "m", "Token-Usage": "9190,50", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:2520,%x:3780,%x:2890", 0x91bd0000+k%664, 0xe4400000+k)}
}

// uploads sends bodies of the permitted size, each at the rate of a user's own link.
func (s *stand) uploads(in *instance, requests *sync.WaitGroup) {
	s.note("many users come at once: %.1f requests a second with bodies of %d bytes, each at %d bytes a second", burstPerSecond, bodyBytes, uploadBytes)
	body := make([]byte, bodyBytes)
	began := time.Now()
	for k := 0; time.Since(began) < burstTime; k++ {
		requests.Go(func() {
			id := s.newID(1<<20 + k)
			status, err := upload(in, id, k, body)
			s.log("upload %s: status %d, error %v", id, status, err)
		})
		time.Sleep(burstInterval)
	}
}

func upload(in *instance, id string, k int, body []byte) (status int, err error) {
	conn, err := net.Dial("tcp", in.frontend)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	var head strings.Builder
	fmt.Fprintf(&head, "POST /minutes/large HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", host, id, apiKey, len(body))
	for name, value := range prompt(1<<20 + k) {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	head.WriteString("\r\n")
	if _, err := conn.Write([]byte(head.String())); err != nil {
		return 0, err
	}
	began := time.Now()
	for sent := 0; sent < len(body); time.Sleep(20 * time.Millisecond) {
		due := min(len(body), int(uploadBytes*time.Since(began).Seconds())+1)
		if _, err := conn.Write(body[sent:due]); err != nil {
			return 0, err
		}
		sent = due
	}
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
