package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// ms returns a duration of milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

var stageServer = PieceServer{ID: "s1", MaxPieces: 10, CallTime: ms(200), PieceTime: ms(10), FreeBytes: 1 << 30, Slowness: 1}

func ids(jobs []PieceJob) []uint64 {
	var out []uint64
	for _, j := range jobs {
		out = append(out, j.ID)
	}
	return out
}

func TestPieceQueueOrder(t *testing.T) {
	goal := func(n int) time.Time { return epoch.Add(ms(n)) }
	far := goal(60000)
	for _, c := range []struct {
		name   string
		server PieceServer
		jobs   []PieceJob
		want   []uint64
	}{
		{"burst: a job that can meet its goal goes before a backlog that cannot", stageServer,
			[]PieceJob{{ID: 1, Pieces: 6, Goal: goal(-100), Deadline: far}, {ID: 2, Pieces: 6, Goal: goal(900), Deadline: far}},
			[]uint64{2}},
		{"among jobs in time the one with the higher priority goes first", stageServer,
			[]PieceJob{{ID: 1, Pieces: 6, Goal: goal(400), Deadline: far, Priority: 2}, {ID: 2, Pieces: 6, Goal: goal(900), Deadline: far}},
			[]uint64{2}},
		{"among jobs of equal priority the one with the earlier goal goes first", stageServer,
			[]PieceJob{{ID: 1, Pieces: 6, Goal: goal(900), Deadline: far}, {ID: 2, Pieces: 6, Goal: goal(800), Deadline: far}},
			[]uint64{2}},
		{"the time that the request needs after the stage counts", stageServer,
			[]PieceJob{{ID: 1, Pieces: 6, Goal: goal(800), Deadline: far}, {ID: 2, Pieces: 6, Goal: goal(900), RemainingTime: ms(300), Deadline: far}},
			[]uint64{2}},
		{"late jobs fill the remaining capacity of a call", stageServer,
			[]PieceJob{{ID: 1, Pieces: 4, Goal: goal(-100), Deadline: far}, {ID: 2, Pieces: 6, Goal: goal(900), Deadline: far}},
			[]uint64{2, 1}},
		{"a call grows only as long as its jobs meet their goals", stageServer,
			[]PieceJob{{ID: 1, Pieces: 5, Goal: goal(255), Deadline: far}, {ID: 2, Pieces: 5, Goal: goal(-100), Deadline: far}},
			[]uint64{1}},
		{"a job that only a small call would finish in time does not delay the others", stageServer,
			[]PieceJob{{ID: 1, Pieces: 1, Goal: goal(215), Deadline: far}, {ID: 2, Pieces: 5, Goal: goal(400), Deadline: far}, {ID: 3, Pieces: 4, Goal: goal(400), Deadline: far}},
			[]uint64{2, 3, 1}},
		{"a slow server gets jobs that are late anyway", PieceServer{ID: "s1", MaxPieces: 10, CallTime: ms(200), PieceTime: ms(10), FreeBytes: 1 << 30, Slowness: 5},
			[]PieceJob{{ID: 1, Pieces: 5, Goal: goal(600), Deadline: far}, {ID: 2, Pieces: 5, Goal: goal(-100), Deadline: far}, {ID: 3, Pieces: 5, Goal: goal(5000), Deadline: far}},
			[]uint64{3, 2}},
		{"a smaller job passes a large one that does not fit", stageServer,
			[]PieceJob{{ID: 1, Pieces: 8, Goal: goal(800), Deadline: far}, {ID: 2, Pieces: 5, Goal: goal(850), Deadline: far}, {ID: 3, Pieces: 2, Goal: goal(900), Deadline: far}},
			[]uint64{1, 3}},
		{"a job is not taken if the server has no memory for its results", PieceServer{ID: "s1", MaxPieces: 10, CallTime: ms(200), FreeBytes: 1000, Slowness: 1},
			[]PieceJob{{ID: 1, Pieces: 3, Bytes: 400, Goal: goal(800), Deadline: far}, {ID: 2, Pieces: 2, Bytes: 400, Goal: goal(900), Deadline: far}},
			[]uint64{2}},
		{"a server that failed the job does not get it again", stageServer,
			[]PieceJob{{ID: 1, Pieces: 1, Goal: goal(800), Deadline: far, Avoid: "s1"}}, nil},
	} {
		Convey(c.name, t, func() {
			var q PieceQueue
			for _, j := range c.jobs {
				q.Push(j)
			}
			So(ids(q.Take(epoch, c.server)), ShouldResemble, c.want)
		})
	}
}

// A server of another zone is free while the servers of the job's own zone are busy.
// The job should wait for one of these only briefly, and only if it still meets its
// goal.
func TestPieceQueueZones(t *testing.T) {
	at := func(zone string, freeHere int) PieceServer {
		s := stageServer
		s.Zone, s.FreeIn = zone, map[string]time.Duration{"a": ms(freeHere), "b": 0}
		return s
	}
	far := epoch.Add(ms(60000))
	job := PieceJob{ID: 1, Pieces: 2, Zone: "a", Goal: epoch.Add(ms(900)), Deadline: far, QueuedAt: epoch}
	for _, c := range []struct {
		name   string
		server PieceServer
		change func(j *PieceJob)
		want   []uint64
	}{
		{"it waits while a server of its own zone is free soon", at("b", 40), func(*PieceJob) {}, nil},
		{"a server of its own zone takes it", at("a", 0), func(*PieceJob) {}, []uint64{1}},
		{"it does not wait if its own zone is busy for long", at("b", 150), func(*PieceJob) {}, []uint64{1}},
		{"it does not wait if it has been queued for long", at("b", 40), func(j *PieceJob) { j.QueuedAt = epoch.Add(ms(-270)) }, []uint64{1}},
		{"it does not wait if it would miss its goal", at("b", 40), func(j *PieceJob) { j.Goal = epoch.Add(ms(250)) }, []uint64{1}},
		{"it does not wait for a zone without servers", at("b", 40), func(j *PieceJob) { j.Zone = "c" }, []uint64{1}},
		{"a job without a preferred zone does not wait", at("b", 0), func(j *PieceJob) { j.Zone = "" }, []uint64{1}},
	} {
		Convey(c.name, t, func() {
			j := job
			c.change(&j)
			var q PieceQueue
			q.Push(j)
			So(ids(q.Take(epoch, c.server)), ShouldResemble, c.want)
			So(q.Len(), ShouldEqual, 1-len(c.want))
			So(q.Pieces(), ShouldEqual, 2-2*len(c.want))
		})
	}
}

// Steady load of jobs whose inputs are in one of several zones keeps the servers
// half busy. Most jobs should run in the zone of their inputs, and the queue wait
// should stay short.
func TestPieceQueueStaysInZone(t *testing.T) {
	Convey("Under steady load most jobs run in the zone of their inputs", t, func() {
		zones := []string{"a", "a", "b", "b", "c"}
		free := make([]time.Time, len(zones))
		var q PieceQueue
		local, done, waited := 0, 0, time.Duration(0)
		for tick := range 60000 {
			now := epoch.Add(ms(tick))
			if tick%50 == 0 {
				zone := zones[int(mix(uint64(tick))%uint64(len(zones)))]
				q.Push(PieceJob{ID: uint64(tick), Pieces: 6, Zone: zone, Goal: now.Add(ms(900)), Deadline: now.Add(ms(4000)), QueuedAt: now})
			}
			freeIn := make(map[string]time.Duration)
			for i, z := range zones {
				wait := max(0, free[i].Sub(now))
				if least, ok := freeIn[z]; !ok || wait < least {
					freeIn[z] = wait
				}
			}
			for i, z := range zones {
				if free[i].After(now) {
					continue
				}
				s := PieceServer{ID: z, Zone: z, MaxPieces: 52, CallTime: ms(200), PieceTime: ms(3), FreeBytes: 1 << 30, Slowness: 1, FreeIn: freeIn}
				jobs := q.Take(now, s)
				pieces := 0
				for _, j := range jobs {
					pieces += j.Pieces
					waited += now.Sub(j.QueuedAt)
					done++
					if j.Zone == z {
						local++
					}
				}
				if pieces > 0 {
					free[i] = now.Add(s.Duration(pieces))
				}
			}
		}
		So(float64(local)/float64(done), ShouldBeGreaterThan, 0.75)
		So(waited/time.Duration(done), ShouldBeLessThan, ms(50))
	})
}

func TestPieceQueueExpire(t *testing.T) {
	Convey("A job expires as soon as no call can finish before its deadline, not at the deadline", t, func() {
		var q PieceQueue
		q.Push(PieceJob{ID: 1, Pieces: 1, Deadline: epoch.Add(ms(205))})
		q.Push(PieceJob{ID: 2, Pieces: 1, Deadline: epoch.Add(ms(500)), RemainingTime: ms(400)})
		q.Push(PieceJob{ID: 3, Pieces: 1, Deadline: epoch.Add(ms(500))})
		So(ids(q.Expire(epoch, stageServer)), ShouldResemble, []uint64{1, 2})
		So(q.Pieces(), ShouldEqual, 1)
	})
}

// No job is lost or leaves the queue twice, and no call exceeds the server's limits
// of pieces and memory.
func TestPieceQueueConservesJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q PieceQueue
		waiting := make(map[uint64]int)
		now := epoch
		for id := uint64(1); id < 120; id++ {
			now = now.Add(ms(rapid.IntRange(0, 40).Draw(t, "pause")))
			j := PieceJob{
				ID: id, Pieces: rapid.IntRange(1, 10).Draw(t, "pieces"), Bytes: int64(rapid.IntRange(0, 100).Draw(t, "bytes")),
				Goal: now.Add(ms(rapid.IntRange(0, 1000).Draw(t, "goal"))), Deadline: now.Add(ms(rapid.IntRange(100, 3000).Draw(t, "deadline"))),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			}
			q.Push(j)
			waiting[id] = j.Pieces
			s := stageServer
			s.FreeBytes = int64(rapid.IntRange(0, 1500).Draw(t, "room"))
			leave := func(j PieceJob) {
				if waiting[j.ID] != j.Pieces {
					t.Fatalf("job %d left the queue twice", j.ID)
				}
				delete(waiting, j.ID)
			}
			for _, j := range q.Expire(now, s) {
				leave(j)
			}
			if rapid.Bool().Draw(t, "call") {
				pieces, bytes := 0, int64(0)
				for _, j := range q.Take(now, s) {
					leave(j)
					pieces += j.Pieces
					bytes += int64(j.Pieces) * j.Bytes
				}
				if pieces > s.MaxPieces || bytes > s.FreeBytes {
					t.Fatalf("call of %d pieces and %d bytes", pieces, bytes)
				}
			}
			sum := 0
			for _, n := range waiting {
				sum += n
			}
			if q.Len() != len(waiting) || q.Pieces() != sum {
				t.Fatalf("queue reports %d jobs and %d pieces, want %d and %d", q.Len(), q.Pieces(), len(waiting), sum)
			}
		}
	})
}

// Guards against wasting capacity on late jobs in a burst: requests of one kind
// arrive at 2.5 times their normal rate for some seconds, which exceeds the capacity
// of the servers. The excess is late or expires. More than 80% of the finished jobs
// must still meet their goal.
func TestPieceQueueUnderBurst(t *testing.T) {
	Convey("Under a burst beyond the capacity most of the capacity goes to jobs in time", t, func() {
		const servers, piecesEach = 5, 6
		var q PieceQueue
		s := PieceServer{MaxPieces: 60, CallTime: ms(200), PieceTime: ms(3), FreeBytes: 1 << 30, Slowness: 1}
		goals := make(map[uint64]time.Time)
		free := make([]time.Time, servers)
		inTime, done := 0, 0
		id := uint64(0)
		for tick := range 6000 {
			now := epoch.Add(ms(tick))
			if tick%6 == 0 { // 1,000 pieces/s arrive at servers with a capacity of 790
				id++
				goals[id] = now.Add(ms(800))
				q.Push(PieceJob{ID: id, Pieces: piecesEach, Goal: goals[id], Deadline: now.Add(ms(6000))})
			}
			q.Expire(now, s)
			for i := range free {
				if now.Before(free[i]) {
					continue
				}
				jobs := q.Take(now, s)
				if len(jobs) == 0 {
					continue
				}
				free[i] = now.Add(s.Duration(len(jobs) * piecesEach))
				for _, j := range jobs {
					done++
					if !free[i].After(goals[j.ID]) {
						inTime++
					}
				}
			}
		}
		So(float64(inTime), ShouldBeGreaterThan, 0.8*float64(done))
	})
}

func TestPieceWait(t *testing.T) {
	for _, c := range []struct {
		name string
		load PieceLoad
		want time.Duration
	}{
		{"an idle server", PieceLoad{Servers: 2, Idle: 1}, 0},
		{"all servers are busy and no piece waits", PieceLoad{Servers: 2, NextFreeIn: ms(80)}, ms(80)},
		{"two full calls wait for two servers", PieceLoad{Waiting: 20, Servers: 2, NextFreeIn: ms(80)}, ms(80 + 300)},
		{"two full calls wait for two servers that accept 2.5 calls a second", PieceLoad{Waiting: 20, Servers: 2, NextFreeIn: ms(80), CallRate: 2.5}, ms(80 + 800)},
		{"two full calls wait for two servers that accept more than they finish", PieceLoad{Waiting: 20, Servers: 2, NextFreeIn: ms(80), CallRate: 25}, ms(80 + 300)},
		{"burst: results fill the memory of the servers, and calls carry 4 of 10 pieces", PieceLoad{Waiting: 20, Servers: 2, NextFreeIn: ms(80), Fill: 4}, ms(80 + 5*240/2)},
		{"burst: the servers also work for another dispatcher, and calls take twice as long", PieceLoad{Waiting: 20, Servers: 2, NextFreeIn: ms(80), Slowness: 2}, ms(80 + 600)},
		{"calls never carry more than the servers take", PieceLoad{Waiting: 20, Servers: 2, NextFreeIn: ms(80), Fill: 40}, ms(80 + 300)},
		{"no server", PieceLoad{Waiting: 20}, 0},
	} {
		Convey(c.name, t, func() { So(PieceWait(c.load, stageServer), ShouldEqual, c.want) })
	}
}

func TestSkipSlow(t *testing.T) {
	slow := stageServer
	slow.Slowness = 5
	Convey("A slow server is skipped while the others finish the work sooner", t, func() {
		So(SkipSlow(PieceLoad{Waiting: 5, Servers: 4, Normal: 3, NextFreeIn: ms(60)}, slow), ShouldBeTrue)
	})
	Convey("A slow server is used while the others are overloaded", t, func() {
		So(SkipSlow(PieceLoad{Waiting: 200, Servers: 4, Normal: 3, NextFreeIn: ms(60)}, slow), ShouldBeFalse)
	})
	Convey("No server is skipped after a pause of the dispatcher, which makes all calls seem slow", t, func() {
		So(SkipSlow(PieceLoad{Waiting: 5, Servers: 4, NextFreeIn: ms(60)}, slow), ShouldBeFalse)
	})
	Convey("A server that is as fast as configured is never skipped", t, func() {
		So(SkipSlow(PieceLoad{Waiting: 5, Servers: 4, Normal: 4, NextFreeIn: ms(60)}, stageServer), ShouldBeFalse)
	})
}
