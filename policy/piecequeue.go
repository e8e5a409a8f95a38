package policy

import (
	"slices"
	"time"
)

// PieceJob is the work of one request in one stage: pieces that go to the same
// stage server in one call.
type PieceJob struct {
	ID uint64
	// Pieces is the number of pieces, and Bytes the memory in bytes that the
	// result of each piece takes at the server.
	Pieces int
	Bytes  int64
	// Goal is the time by which the whole request should finish; Deadline is the
	// time after which its result is useless.
	Goal, Deadline time.Time
	// RemainingTime is the expected time that the request still needs after this
	// stage.
	RemainingTime time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Zone is the preferred availability zone: that of the job's inputs or that
	// of the receiver of its result. It is empty if the job has no preference.
	Zone string
	// QueuedAt is the time at which the job was queued.
	QueuedAt time.Time
	// Avoid is the ID of a server that failed the job, or empty.
	Avoid string
}

// PieceServer is a stage server that can take a call.
type PieceServer struct {
	ID   string
	Zone string
	// MaxPieces is the maximum number of pieces in a call. A call takes CallTime
	// plus PieceTime for each piece, multiplied by Slowness.
	MaxPieces           int
	CallTime, PieceTime time.Duration
	// FreeBytes is the memory that is free for results.
	FreeBytes int64
	// Slowness is the ratio of the recent to the configured duration of the
	// server's calls: 1 for a server that is as fast as configured.
	Slowness float64
	// FreeIn is, by zone, the expected time until one of the group's servers in
	// that zone is free.
	FreeIn map[string]time.Duration
}

// Duration returns the expected duration of a call of n pieces. Slowness below 1
// counts as 1.
func (s PieceServer) Duration(n int) time.Duration {
	d := s.CallTime + time.Duration(n)*s.PieceTime
	return time.Duration(max(1, s.Slowness) * float64(d))
}

// slowThreshold is the minimum slowness of a server that counts as slow.
const slowThreshold = 2

// PieceQueue holds the jobs that wait for a stage server. The zero value is an
// empty queue. It is not safe for concurrent use.
//
// A call to a server takes jobs that can still meet their goal first, in the
// order of priority. Jobs that will miss their goal fill the remaining capacity,
// so that under overload no job that is in time waits behind a late one.
type PieceQueue struct {
	jobs   []PieceJob
	pieces int
}

// Len returns the number of waiting jobs.
func (q *PieceQueue) Len() int { return len(q.jobs) }

// Pieces returns the number of waiting pieces.
func (q *PieceQueue) Pieces() int { return q.pieces }

// InTime returns the number of waiting pieces of jobs that can still meet their
// goal in the next call to the server s.
func (q *PieceQueue) InTime(now time.Time, s PieceServer) int {
	n := 0
	for _, j := range q.jobs {
		if !late(now, s.Duration(j.Pieces), j) {
			n += j.Pieces
		}
	}
	return n
}

func (q *PieceQueue) Push(j PieceJob) {
	q.jobs = append(q.jobs, j)
	q.pieces += j.Pieces
}

// Remove removes a job and reports whether it was in the queue.
func (q *PieceQueue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.jobs, func(j PieceJob) bool { return j.ID == id })
	if i < 0 {
		return false
	}
	q.pieces -= q.jobs[i].Pieces
	q.jobs = slices.Delete(q.jobs, i, i+1)
	return true
}

// Expire removes and returns the jobs whose deadline cannot be met even if a call
// with only their pieces began now on a server that is not slow.
func (q *PieceQueue) Expire(now time.Time, s PieceServer) []PieceJob {
	s.Slowness = 1
	var expired []PieceJob
	q.jobs = slices.DeleteFunc(q.jobs, func(j PieceJob) bool {
		if now.Add(s.Duration(j.Pieces) + j.RemainingTime).Before(j.Deadline) {
			return false
		}
		expired = append(expired, j)
		q.pieces -= j.Pieces
		return true
	})
	return expired
}

// Take removes and returns the jobs of the next call to a server. Jobs are not
// split.
//
// A larger call has a higher throughput, but all of its pieces finish later. The
// call is therefore as large as possible while the jobs in it that can meet their
// goal still do. Jobs that only a smaller call would finish in time count as late,
// as the smaller call would cost the other jobs more. Late jobs fill the remaining
// capacity of the call.
func (q *PieceQueue) Take(now time.Time, s PieceServer) []PieceJob {
	if len(q.jobs) == 0 {
		return nil
	}
	held := q.holdForLocal(now, s)
	defer func() { q.jobs = append(q.jobs, held...) }()
	call := s.Duration(q.largestInTime(now, s))
	slices.SortStableFunc(q.jobs, func(a, b PieceJob) int { return comparePieceJobs(now, call, s.Zone, a, b) })
	var taken []PieceJob
	n, freeBytes := 0, s.FreeBytes
	longestCall := time.Duration(1<<63 - 1) // the longest call with which its jobs meet their goals
	q.jobs = slices.DeleteFunc(q.jobs, func(j PieceJob) bool {
		bytes := int64(j.Pieces) * j.Bytes
		if j.Avoid != "" && j.Avoid == s.ID || n+j.Pieces > s.MaxPieces || bytes > freeBytes || s.Duration(n+j.Pieces) > longestCall {
			return false
		}
		if !late(now, call, j) {
			longestCall = min(longestCall, j.slack(now))
		}
		n += j.Pieces
		freeBytes -= bytes
		taken = append(taken, j)
		return true
	})
	q.pieces -= n
	return taken
}

const (
	// localFreeFactor bounds the time until a server of a job's own zone is free.
	// Up to that time the job waits for it while servers of other zones are free.
	// maxLocalWaitFactor bounds the job's total wait. Both are multiples of
	// CallTime. Waiting makes calls larger, but a request has several stages and
	// can wait in each.
	localFreeFactor    = 0.5
	maxLocalWaitFactor = 1.5
)

// holdForLocal removes and returns the jobs that a server of another zone should
// not take, as a server of their own zone will be free soon enough (delay
// scheduling).
func (q *PieceQueue) holdForLocal(now time.Time, s PieceServer) []PieceJob {
	var held []PieceJob
	freeWithin, maxWait := time.Duration(localFreeFactor*float64(s.CallTime)), time.Duration(maxLocalWaitFactor*float64(s.CallTime))
	normal := s
	normal.Slowness = 1
	q.jobs = slices.DeleteFunc(q.jobs, func(j PieceJob) bool {
		if j.Zone == "" || j.Zone == s.Zone {
			return false
		}
		free, ok := s.FreeIn[j.Zone]
		if !ok || free > freeWithin || now.Add(free).Sub(j.QueuedAt) > maxWait || free+normal.Duration(j.Pieces) > j.slack(now) {
			return false
		}
		held = append(held, j)
		return true
	})
	return held
}

// largestInTime returns the largest number of pieces that a call can have while
// all of its jobs meet their goals. If there is none, it returns the largest
// number that the queue and the server allow. It sorts the queue.
func (q *PieceQueue) largestInTime(now time.Time, s PieceServer) int {
	slices.SortStableFunc(q.jobs, func(a, b PieceJob) int { return b.finishBy().Compare(a.finishBy()) })
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

// comparePieceJobs orders jobs for a call of the given duration by a server in
// zone: jobs that meet their goal first, then by priority, then jobs that prefer
// the zone first, then by the time at which the stage has to finish.
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
	return a.finishBy().Compare(b.finishBy())
}

// late reports whether a job misses its goal even if it is in the next call, which
// takes the given time.
func late(now time.Time, call time.Duration, j PieceJob) bool { return call > j.slack(now) }

// slack returns the longest duration of a call with which the job meets its goal.
func (j PieceJob) slack(now time.Time) time.Duration { return j.finishBy().Sub(now) }

// finishBy returns the time by which the stage has to finish for the request to
// meet its goal.
func (j PieceJob) finishBy() time.Time { return j.Goal.Add(-j.RemainingTime) }

// PieceLoad describes the load of a group of stage servers, for the estimate of
// the queue wait.
type PieceLoad struct {
	// Waiting is the number of waiting pieces.
	Waiting int
	// Servers is the number of servers that take calls, and Idle the number of
	// those without a call.
	Servers, Idle int
	// Normal is the number of servers that are not slow.
	Normal int
	// NextFreeIn is the expected time until the next busy server is free.
	NextFreeIn time.Duration
	// CallRate is the number of calls per second that the servers together accept; 0
	// if it is not limited.
	CallRate float64
	// Fill is the number of pieces that calls carried lately while more were waiting: less
	// than a full call if the memory for results or the jobs' goals bound them; 0 if all
	// waiting pieces found room.
	Fill float64
	// Slowness is the mean slowness of the servers; 0 counts as 1.
	Slowness float64
}

// PieceWait returns the expected queue wait of a job that is queued now: the time
// until a server is free, plus the time of the calls that the waiting pieces fill,
// divided among all servers, or the time in which the servers accept these calls.
func PieceWait(l PieceLoad, s PieceServer) time.Duration {
	if l.Servers == 0 {
		return 0
	}
	fill := max(1, s.MaxPieces)
	if l.Fill > 0 {
		fill = min(fill, max(1, int(l.Fill)))
	}
	s.Slowness = max(s.Slowness, l.Slowness)
	full := l.Waiting / fill
	if l.Idle > full {
		return 0
	}
	rounds := time.Duration(full-l.Idle) * s.Duration(fill) / time.Duration(l.Servers)
	if l.CallRate > 0 {
		rounds = max(rounds, time.Duration(float64(full)/l.CallRate*float64(time.Second)))
	}
	return l.NextFreeIn + rounds
}

// Slow reports whether a server is clearly slower than configured.
func (s PieceServer) Slow() bool { return s.Slowness >= slowThreshold }

// SkipSlow reports whether a slow server should not get a call now, because the
// other servers will finish all waiting work sooner. If all servers seem slow, it
// returns false: it is more likely that this instance was paused.
func SkipSlow(l PieceLoad, s PieceServer) bool {
	if !s.Slow() || l.Normal == 0 {
		return false
	}
	l.Servers, l.Slowness = l.Normal, 0 // Slowness includes the slow ones
	normal := s
	normal.Slowness = 1
	return PieceWait(l, normal)+normal.Duration(min(l.Waiting, s.MaxPieces)) < s.Duration(min(l.Waiting, s.MaxPieces))
}
