//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// stageEngine is an engine of the platform that runs pieces of stages.
type stageEngine struct {
	stand             *stand
	id, service, zone string
	batch             int
	call, item        time.Duration
	// fails reports whether the engine fails a call: each entry gets the reason error.
	fails func() bool
	// doubles reports whether the engine sends an answer once more, where the next response
	// on the connection is expected.
	doubles func() bool

	address string
	born    int64
	turn    chan struct{} // one slot

	mu       sync.Mutex
	sequence int
	waiting  int
	pieces   map[string]piece // by handle
	answers  int
	doubled  int
	failed   int
}

// piece is what a result was made of.
type piece struct {
	Request string `json:"id"`
	Phase   int    `json:"phase"`
	Segment int    `json:"segment"`
}

// stageQueue is the number of calls that may wait at an engine.
const stageQueue = 2

func (e *stageEngine) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(notRun(err.Error()))
	}
	e.address, e.born, e.turn, e.pieces = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{}, 1), make(map[string]piece)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	e.register()
	go func() {
		for {
			time.Sleep(heartbeat)
			e.register()
		}
	}()
}

func (e *stageEngine) register() {
	e.mu.Lock()
	e.sequence++
	entry := fields{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 1,
		"state": "ready", "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	e.stand.put(topicServers, e.id, entry)
}

// serve serves one request after the other on a connection.
func (e *stageEngine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var late []byte // an answer that is sent again
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			e.stand.log("stage engine %s sends its answer before once more on %s", e.id, c.RemoteAddr())
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		status, extra, answer := e.handle(r, body, c.RemoteAddr().String())
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nServer-Load: 0,0,1\r\nKeep-Alive: timeout=5\r\n%sContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), extra, len(answer), answer)
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
		if r.URL.Path != "/api/stage-run" || status != http.StatusOK {
			continue
		}
		e.mu.Lock()
		e.answers++
		e.mu.Unlock()
		if e.doubles != nil && e.doubles() {
			late = bytes.Clone(out.Bytes())
			e.mu.Lock()
			e.doubled++
			e.mu.Unlock()
		}
	}
}

// handle returns the status, other headers and the body of an answer.
func (e *stageEngine) handle(r *http.Request, body []byte, from string) (int, string, []byte) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		return http.StatusMisdirectedRequest, "Instance-Id: " + e.id + "\r\n", nil
	}
	switch r.URL.Path {
	case "/api/stage-free":
		return http.StatusOK, "", []byte("{}")
	case "/api/stage-run":
	default:
		return http.StatusNotFound, "", nil
	}
	var call struct {
		Entries []piece `json:"entries"`
	}
	if err := json.Unmarshal(body, &call); err != nil || len(call.Entries) > e.batch {
		return http.StatusBadRequest, "Not-Executed: 1\r\n", nil
	}
	e.mu.Lock()
	full := e.waiting >= stageQueue+1
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
		return http.StatusServiceUnavailable, "Not-Executed: 1\r\n", nil
	}
	e.turn <- struct{}{}
	time.Sleep(e.call + time.Duration(len(call.Entries))*e.item)
	<-e.turn
	failed := e.fails != nil && e.fails()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	results := make([]fields, 0, len(call.Entries))
	for _, p := range call.Entries {
		if failed {
			results = append(results, fields{"reason": "error"})
			continue
		}
		handle := fmt.Sprintf("%s/%012x", e.address, rand.Uint64()&0xffffffffffff)
		e.pieces[handle] = p
		results = append(results, fields{"handle": handle})
	}
	if failed {
		e.failed++
	}
	e.stand.log("stage engine %s ran %v for %s, failed=%v: %v", e.id, call.Entries, from, failed, results)
	answer, err := json.Marshal(fields{"entries": results})
	if err != nil {
		panic(err)
	}
	return http.StatusOK, "", answer
}
