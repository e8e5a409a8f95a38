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
// on one of every sampleEvery such requests are logged.
const sampleEvery = 32

// slowRequestAge is the age after which the decisions on a request are written
// immediately, so that they are not lost if the process crashes.
const slowRequestAge = time.Second

// maxRequestLines is the maximum number of lines of one request.
const maxRequestLines = 64

// RequestLog collects the decisions on one request. They are written together
// when the request ends, or as they are made once it is slow: all lines, or none.
// Requests that do not end well are always selected for logging, the others by
// sampling. A rate limit applies to both.
type RequestLog struct {
	host   *Host
	id     string
	sample bool
	began  time.Time

	mu    sync.Mutex
	lines []logLine // lines not written yet; guarded by mu
	added int       // guarded by mu
	// writeThrough is true once lines are written immediately; guarded by mu
	writeThrough bool
}

type logLine struct {
	at   time.Time
	msg  string
	args []any
}

// requestLogLimiter limits the rate of requests whose decisions are logged.
type requestLogLimiter struct {
	once         sync.Once
	limiter      *rate.Limiter
	count        atomic.Uint64
	skipped      atomic.Int64
	lastReported atomic.Int64 // when skipped was last logged, in seconds since began
	began        time.Time
}

func (s *requestLogLimiter) init(h *Host) {
	s.once.Do(func() {
		perSecond := h.Settings.Int("log", "requests_per_second")
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		s.began = time.Now()
	})
}

// NewRequestLog starts the log of a request.
func (h *Host) NewRequestLog(id string) *RequestLog {
	h.requestLogLimiter.init(h)
	return &RequestLog{host: h, id: id, sample: h.requestLogLimiter.count.Add(1)%sampleEvery == 0, began: time.Now()}
}

// Add records a decision: a message, and the inputs as key-value pairs.
func (l *RequestLog) Add(msg string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(msg, args)
	if l.writeThrough || time.Since(l.began) > slowRequestAge && l.allow() {
		l.writeThrough = true
		l.write()
	}
}

// add records a line, up to the maximum per request. The caller holds mu.
func (l *RequestLog) add(msg string, args []any) {
	if l.added++; l.added <= maxRequestLines {
		l.lines = append(l.lines, logLine{time.Now(), msg, args})
	}
}

// allow reports whether the log level and the rate limit permit one more request
// to be logged.
func (l *RequestLog) allow() bool {
	s := &l.host.requestLogLimiter
	if !l.host.Logger.Enabled(context.Background(), slog.LevelInfo) {
		return false
	}
	if !s.limiter.Allow() {
		s.skipped.Add(1)
		l.host.Counter("log_requests_skipped").Inc(1)
		return false
	}
	s.reportSkipped(l.host)
	return true
}

// End records the end of the request. It writes the remaining lines if the log is
// in write-through mode. Otherwise it writes the collected lines if keep is true
// or the request is in the sample, and the rate limit permits it.
func (l *RequestLog) End(keep bool, msg string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(msg, args)
	if l.writeThrough || (keep || l.sample) && l.allow() {
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
func (s *requestLogLimiter) reportSkipped(h *Host) {
	now := int64(time.Since(s.began) / time.Second)
	if last := s.lastReported.Load(); last == now || !s.lastReported.CompareAndSwap(last, now) {
		return
	}
	if n := s.skipped.Swap(0); n > 0 {
		h.Logger.Warn("requests left out of the log", "requests", n)
	}
}
