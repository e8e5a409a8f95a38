//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// contactTime is contact_ms of the small deployments.
	contactTime = 3 * time.Second
	// maxCrashRetries is how many retries may reach engines after that.
	maxCrashRetries = 3
	// poisonInterval is the time after which the request that crashes engines comes again.
	poisonInterval = 1500 * time.Millisecond
	// firstSplit and secondSplit are when the operator splits the request's route.
	firstSplit, secondSplit = 14 * time.Second, 32 * time.Second
	crashesTraffic          = 48 * time.Second
)

// crashesAfterSplit sends a request that crashes each engine that runs it again and again,
// while the operator splits its route, and returns what breaks BUDGET.
func crashesAfterSplit(s *stand) []string {
	const path = "/assign/tea/7"
	poison := []byte(`{"duty":"tea","hall":7}`)
	splits := [][]fields{
		{plainRoute("r-5mgjy5r", "/assign/", "non_idempotent", "roster", 1)},
		{plainRoute("r-5mgjy5r", "/assign/", "non_idempotent", "roster", 1), plainRoute("r-jqnirth", "/assign/tea/", "non_idempotent", "roster", 1)},
		{plainRoute("r-5mgjy5r", "/assign/", "non_idempotent", "roster", 1), plainRoute("r-jqnirth", "/assign/tea/", "non_idempotent", "roster", 1), plainRoute("r-8dkwq2a", "/assign/tea/7", "non_idempotent", "roster", 1)},
	}
	splits[2][2]["path_prefix"] = "/assign/tea/7/"
	put := func(version, i int) {
		s.put(topicOp, "config", config(version, splits[i], []fields{plainService("roster")}))
		s.note("configuration %d with %d routes", version, len(splits[i]))
	}
	put(7, 0)
	zones := []string{"tas-hobart", "tas-launceston", "tas-devonport", "tas-burnie"}
	var mu sync.Mutex
	var crashes []time.Time
	poisonIDs := make(map[string]time.Time) // when they were sent
	reached := make(map[string]time.Time)
	for i, zone := range zones {
		e := &engine{stand: s, id: fmt.Sprintf("i-roster-%d", i), service: "roster", zone: zone, version: "v1", slots: rosterSlots, work: rosterWork}
		e.crashes = func(p string, body []byte) bool { return strings.HasPrefix(p, path) && string(body) == string(poison) }
		e.onRun = func(_ *engine, id string, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			if _, ok := poisonIDs[id]; ok {
				reached[id] = at
				crashes = append(crashes, at)
			}
		}
		e.start()
	}
	for i, zone := range zones[:3] {
		s.newInstance(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
	}
	s.startAll(6*time.Second, s.instances...)

	clients := make([]*client, 12)
	for i := range clients {
		clients[i] = newClient()
	}
	began := time.Now()
	var requests sync.WaitGroup
	var n atomic.Int64
	var others sync.WaitGroup
	others.Go(func() {
		for time.Since(began) < crashesTraffic {
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / viewPerSecond))
			requests.Go(func() {
				k := int(n.Add(1))
				id, in := s.newID(k), s.instances[rand.IntN(len(s.instances))]
				a := clients[k%len(clients)].send(in, "POST", "/assign/duty", id, 3*time.Second, []byte(id))
				s.log("client sent %s to %s: %v", id, in.name, a)
			})
		}
	})
	next := 1
	splitAt := []time.Duration{0, firstSplit, secondSplit}
	for k := 0; time.Since(began) < crashesTraffic; k++ {
		if next < len(splitAt) && time.Since(began) >= splitAt[next] {
			if s.trouble {
				put(7+next, next)
			}
			next++
		}
		id, in := s.newID(1<<20+k), s.instances[k%len(s.instances)]
		mu.Lock()
		poisonIDs[id] = time.Now()
		mu.Unlock()
		a := newClient().send(in, "POST", path+"/", id, 3*time.Second, poison)
		s.log("client sent the request that crashes engines as %s to %s: %v", id, in.name, a)
		time.Sleep(poisonInterval)
	}
	others.Wait()
	requests.Wait()

	slices.SortFunc(crashes, time.Time.Compare)
	s.note("the request was sent %d times and has crashed engines %d times", len(poisonIDs), len(crashes))
	if len(crashes) < 3 {
		panic(notRun("the request has not crashed three engines"))
	}
	third := crashes[2]
	late := 0
	for id, at := range reached {
		if at.After(third.Add(contactTime)) {
			late++
			s.note("retry %s reached an engine %.2f s after the third crash", id, at.Sub(third).Seconds())
		}
	}
	if late > maxCrashRetries {
		return []string{fmt.Sprintf("the request reached engines in %d retries that were sent later than %v after it had crashed the third", late, contactTime)}
	}
	return nil
}
