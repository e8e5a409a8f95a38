package kernel

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// sampleEvery is the sampling interval of requests that end well: the decisions
// on one in this many are logged.
const sampleEvery = 32

// slowRequestAge is the age from which on the decisions on a request are written
// immediately, so that they are not lost if the process crashes.
const slowStory = time.Second

// maxRequestLines is the maximum number of lines of one request.
const maxStoryLines = 64

// RequestLog collects the decisions on one request. They are written together
// when the request ends: all lines, or none. The decisions on requests that do
// not end well are always selected, those on the others by sampling. A rate limit
// applies to both.
type RequestLog struct {
	host   *Host
	id     string
	sample bool
	began  time.Time

	mu    sync.Mutex
	lines []storyLine // lines not written yet; guarded by mu
	added int         // guarded by mu
	// open is true once lines are written immediately; guarded by mu
	open bool
}

type storyLine struct {
	at   time.Time
	msg  string
	args []any
}

// requestLogLimiter limits the rate of requests whose decisions are logged.
type stories struct {
	once    sync.Once
	limiter *rate.Limiter
	count   atomic.Uint64
	skipped atomic.Int64
	told    atomic.Int64 // when skipped was last logged, in seconds since began
	began   time.Time
}

func (s *stories) init(h *Host) {
	s.once.Do(func() {
		perSecond := h.Settings.Int("log", "requests_per_second")
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		s.began = time.Now()
	})
}

// NewRequestLog starts the log of a request.
func (h *Host) NewRequestLog(id string) *RequestLog {
	h.stories.init(h)
	return &RequestLog{host: h, id: id, sample: h.stories.count.Add(1)%sampleEvery == 0, began: time.Now()}
}

// Add records a decision: a message, and the inputs as key-value pairs.
func (l *RequestLog) Add(msg string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(msg, args)
	if l.open || time.Since(l.began) > slowStory && l.allow() {
		l.open = true
		l.write()
	}
}

// add records a line, up to the maximum per request. The caller holds mu.
func (l *RequestLog) add(msg string, args []any) {
	if l.added++; l.added <= maxStoryLines {
		l.lines = append(l.lines, storyLine{time.Now(), msg, args})
	}
}

// allow reports whether the log level and the rate limit permit one more request
// to be logged.
func (l *RequestLog) allow() bool {
	s := &l.host.stories
	if !l.host.Logger.Enabled(context.Background(), slog.LevelInfo) {
		return false
	}
	if !s.limiter.Allow() {
		s.skipped.Add(1)
		l.host.Counter("log_requests_skipped").Inc(1)
		return false
	}
	s.tellSkipped(l.host)
	return true
}

// End records the end of the request. It writes the collected lines if keep is
// true or the request is in the sample, and the rate limit allows it.
func (l *RequestLog) End(keep bool, msg string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(msg, args)
	if l.open || (keep || l.sample) && l.allow() {
		l.write()
	}
}

// write writes the lines that have not been written yet. The caller holds mu.
func (l *RequestLog) write() {
	handler := l.host.Logger.Handler()
	for _, line := range l.lines {
		r := slog.NewRecord(line.at, slog.LevelInfo, line.msg, 0)
		r.AddAttrs(slog.String("request", l.id))
		r.Add(line.args...)
		if err := handler.Handle(context.Background(), r); err != nil {
			l.host.Counter("log_lines_failed").Inc(1)
		}
	}
	l.lines = nil
}

// reportSkipped logs, at most once per second, how many requests were not logged
// because of the rate limit.
func (s *stories) tellSkipped(h *Host) {
	now := int64(time.Since(s.began) / time.Second)
	if told := s.told.Load(); told == now || !s.told.CompareAndSwap(told, now) {
		return
	}
	if n := s.skipped.Swap(0); n > 0 {
		h.Logger.Warn("requests left out of the log", "requests", n)
	}
}
