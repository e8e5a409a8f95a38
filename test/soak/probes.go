package main

import (
	"net/http"
	"sync/atomic"
)

// probeCounter numbers the requests that allServed sends.
type probeCounter struct{ n atomic.Int64 }

func (c *probeCounter) next() int { return int(c.n.Add(1)) }

var probeNumbers probeCounter

func noKeepAlive() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
