package main

import (
	"net/http"
	"sync/atomic"
)

// counter numbers the requests that look whether everything is served.
type counter struct{ n atomic.Int64 }

func (c *counter) next() int { return int(c.n.Add(1)) }

var probes counter

func noKeepAlive() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
