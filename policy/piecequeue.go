package policy

import (
	"slices"
	"time"
)

// PieceJob is the part of a request that one stage makes: pieces that go to one
// stage server together.
type PieceJob struct {
	ID uint64
	// Pieces is the number of pieces, Bytes the memory that the result of each
	// takes at the server.
	Pieces int
	Bytes  int64
	// Goal is the time by which the whole request is worth most; Deadline is
	// the time after which it is worth nothing.
	Goal, Deadline time.Time
	// Rest is the time that the request needs once the stage is done.
	Rest time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Zone is where the job is best done: where its inputs lie, or where its
	// result is wanted. It is empty if that matters little.
	Zone string
	// Asked is when the job was queued.
	Asked time.Time
	// Avoid names a server that failed the job.
	Avoid string
}

// PieceServer is a stage server that can take a call.
type PieceServer struct {
	ID   string
	Zone string
	// MaxPieces bounds the pieces of a call. A call takes CallTime and
	// PieceTime for each piece, times Slowness.
	MaxPieces           int
	CallTime, PieceTime time.Duration
	// Room is the memory for results that is free, in bytes.
	Room int64
	// Slowness is how many times longer than stated the server's calls took
	// lately; 1 for a server as stated.
	Slowness float64
	// FreeIn is, by zone, the time until one of the group's servers that stand
	// there is free.
	FreeIn map[string]time.Duration
}

// Duration is the expected time of a call of n pieces.
func (s PieceServer) Duration(n int) time.Duration {
	d := s.CallTime + time.Duration(n)*s.PieceTime
	return time.Duration(max(1, s.Slowness) * float64(d))
}

// maxSlowness is how many times slower than stated a server may be and still
// count as one that works as usual.
const maxSlowness = 2

// PieceQueue holds the jobs that wait for a stage server. It is a plain value
// that is not safe for concurrent use.
//
// A server takes the jobs that can still meet their goal first, the most urgent
// of them first. Those that will be late anyway fill what is left, so that under
// overload the work that is worth most is done and nothing that is in time waits
// behind what is not.
type PieceQueue struct {
	jobs   []PieceJob
	pieces int
}

// Len returns the number of waiting jobs, Pieces that of their pieces.
func (q *PieceQueue) Len() int { return len(q.jobs) }

// Pieces returns the number of waiting pieces.
func (q *PieceQueue) Pieces() int { return q.pieces }

// InTime returns the number of waiting pieces of jobs that can still meet their
// goal in the next call of a server that works as usual.
func (q *PieceQueue) InTime(now time.Time, s PieceServer) int {
	n := 0
	for _, j := range q.jobs {
		if !late(now, s.Duration(j.Pieces), j) {
			n += j.Pieces
		}
	}
	return n
}

// Push adds a job.
func (q *PieceQueue) Push(j PieceJob) {
	q.jobs = append(q.jobs, j)
	q.pieces += j.Pieces
}

// Remove takes a job out, and reports whether it waited.
func (q *PieceQueue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.jobs, func(j PieceJob) bool { return j.ID == id })
	if i < 0 {
		return false
	}
	q.pieces -= q.jobs[i].Pieces
	q.jobs = slices.Delete(q.jobs, i, i+1)
	return true
}

// Expire takes out the jobs whose deadline cannot be met even if a call of
// their pieces alone began now.
func (q *PieceQueue) Expire(now time.Time, s PieceServer) []PieceJob {
	s.Slowness = 1
	var expired []PieceJob
	q.jobs = slices.DeleteFunc(q.jobs, func(j PieceJob) bool {
		if now.Add(s.Duration(j.Pieces) + j.Rest).Before(j.Deadline) {
			return false
		}
		expired = append(expired, j)
		q.pieces -= j.Pieces
		return true
	})
	return expired
}

// Take takes out the jobs of the next call to a server. Jobs are not divided.
//
// The more pieces a call has, the more it does in its time, and the later all of
// them are. So the call is as large as it can be while every job that is in time
// stays so: those that only a smaller call would serve in time are passed over,
// as they would cost the others more than they are worth. What is left of the
// call is filled with jobs that are late anyway.
func (q *PieceQueue) Take(now time.Time, s PieceServer) []PieceJob {
	if len(q.jobs) == 0 {
		return nil
	}
	waiting := q.setAside(now, s)
	defer func() { q.jobs = append(q.jobs, waiting...) }()
	call := s.Duration(q.largestInTime(now, s))
	slices.SortStableFunc(q.jobs, func(a, b PieceJob) int { return comparePieceJobs(now, call, s.Zone, a, b) })
	var taken []PieceJob
	n, room := 0, s.Room
	latest := time.Duration(1<<63 - 1) // the time of the call that its jobs bear
	q.jobs = slices.DeleteFunc(q.jobs, func(j PieceJob) bool {
		bytes := int64(j.Pieces) * j.Bytes
		if j.Avoid != "" && j.Avoid == s.ID || n+j.Pieces > s.MaxPieces || bytes > room || s.Duration(n+j.Pieces) > latest {
			return false
		}
		if !late(now, call, j) {
			latest = min(latest, j.slack(now))
		}
		n += j.Pieces
		room -= bytes
		taken = append(taken, j)
		return true
	})
	q.pieces -= n
	return taken
}

const (
	// zoneFreeIn is how soon a server of a job's own zone must be free for the
	// job to wait for it while others are free, zoneWait how long it waits so at
	// most, both in times of an empty call: waiting fills the calls, but a
	// request has several stages and can wait in each.
	zoneFreeIn = 0.5
	zoneWait   = 1.5
)

// setAside takes out the jobs that a server of another zone should leave alone,
// as one of their own zone will be free soon enough for them (delay scheduling).
func (q *PieceQueue) setAside(now time.Time, s PieceServer) []PieceJob {
	var waiting []PieceJob
	soon, most := time.Duration(zoneFreeIn*float64(s.CallTime)), time.Duration(zoneWait*float64(s.CallTime))
	usual := s
	usual.Slowness = 1
	q.jobs = slices.DeleteFunc(q.jobs, func(j PieceJob) bool {
		if j.Zone == "" || j.Zone == s.Zone {
			return false
		}
		free, ok := s.FreeIn[j.Zone]
		if !ok || free > soon || now.Add(free).Sub(j.Asked) > most || free+usual.Duration(j.Pieces) > j.slack(now) {
			return false
		}
		waiting = append(waiting, j)
		return true
	})
	return waiting
}

// largestInTime is the largest number of pieces that a call can have while all
// of its jobs meet their goals; all that may be in a call if there is none.
func (q *PieceQueue) largestInTime(now time.Time, s PieceServer) int {
	slices.SortStableFunc(q.jobs, func(a, b PieceJob) int { return b.start().Compare(a.start()) })
	largest, n := 0, 0
	for _, j := range q.jobs {
		n = min(n+j.Pieces, s.MaxPieces)
		if s.Duration(n) <= j.slack(now) {
			largest = n
		}
	}
	if largest == 0 {
		return min(n, s.MaxPieces)
	}
	return largest
}

// comparePieceJobs orders jobs for a call of a duration: first those that meet
// their goal, of them the most urgent, and by the time at which they have to be
// done.
func comparePieceJobs(now time.Time, call time.Duration, zone string, a, b PieceJob) int {
	lateA, lateB := late(now, call, a), late(now, call, b)
	switch {
	case lateA != lateB && lateA:
		return 1
	case lateA != lateB:
		return -1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.Zone != b.Zone && a.Zone == zone:
		return -1
	case a.Zone != b.Zone && b.Zone == zone:
		return 1
	}
	return a.start().Compare(b.start())
}

// late reports whether a job misses its goal though it is in the next call.
func late(now time.Time, call time.Duration, j PieceJob) bool { return call > j.slack(now) }

// slack is the time that a call may take for a job to meet its goal.
func (j PieceJob) slack(now time.Time) time.Duration { return j.start().Sub(now) }

// start is the time by which a job has to be done to meet its goal.
func (j PieceJob) start() time.Time { return j.Goal.Add(-j.Rest) }

// PieceLoad is what bears on the wait for a stage server.
type PieceLoad struct {
	// Waiting is the number of pieces that wait.
	Waiting int
	// Servers is the number of servers that take calls, Idle of those that
	// have none.
	Servers, Idle int
	// Usual is the number of servers that work as stated.
	Usual int
	// Soonest is the time until the next busy server is expected to be free.
	Soonest time.Duration
}

// PieceWait is the expected time until a job that joins the queue now is sent
// to a server: the calls that the waiting pieces fill, over all servers.
func PieceWait(l PieceLoad, s PieceServer) time.Duration {
	if l.Servers == 0 {
		return 0
	}
	full := l.Waiting / max(1, s.MaxPieces)
	if l.Idle > full {
		return 0
	}
	rounds := time.Duration(full-l.Idle) * s.Duration(s.MaxPieces) / time.Duration(l.Servers)
	return l.Soonest + rounds
}

// Slow reports whether a server is clearly slower than stated.
func (s PieceServer) Slow() bool { return s.Slowness >= maxSlowness }

// SpareSlow reports whether a slow server should not get a call now, because
// those that work as usual will have done all waiting work sooner. If all seem
// slow, it is more likely that this instance stood still.
func SpareSlow(l PieceLoad, s PieceServer) bool {
	if !s.Slow() || l.Usual == 0 {
		return false
	}
	l.Servers = l.Usual
	usual := s
	usual.Slowness = 1
	return PieceWait(l, usual)+usual.Duration(min(l.Waiting, s.MaxPieces)) < s.Duration(min(l.Waiting, s.MaxPieces))
}
