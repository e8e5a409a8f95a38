package kernel

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// sampleEvery is the part of the requests that end well whose story is logged:
// one in so many.
const sampleEvery = 32

// slowStory is the age from which on a request's story is written as it goes, so
// that it is there if the process is lost.
const slowStory = time.Second

// maxStoryLines bounds the lines of one request.
const maxStoryLines = 64

// RequestLog collects the decisions on one request. They are written together
// when the request ends: all lines, or none. The stories of requests that do
// not end well are always wanted, of the others a sample.
type RequestLog struct {
	host   *Host
	id     string
	sample bool
	began  time.Time

	mu    sync.Mutex
	lines []storyLine // those not written yet; guarded by mu
	added int         // guarded by mu
	// open is true once the story is written as it goes; guarded by mu
	open bool
}

type storyLine struct {
	at   time.Time
	msg  string
	args []any
}

// stories bounds the requests whose decisions are logged.
type stories struct {
	once    sync.Once
	limiter *rate.Limiter
	count   atomic.Uint64
	skipped atomic.Int64
	told    atomic.Int64 // seconds since the start at which skipped was told
	began   time.Time
}

func (s *stories) init(h *Host) {
	s.once.Do(func() {
		perSecond := h.Settings.Int("log", "requests_per_second")
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		s.began = time.Now()
	})
}

// NewRequestLog begins the story of a request.
func (h *Host) NewRequestLog(id string) *RequestLog {
	h.stories.init(h)
	return &RequestLog{host: h, id: id, sample: h.stories.count.Add(1)%sampleEvery == 0, began: time.Now()}
}

// Add notes a decision: what was decided, and the inputs as pairs of name and
// value.
func (l *RequestLog) Add(msg string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(msg, args)
	if l.open || time.Since(l.began) > slowStory && l.allow() {
		l.open = true
		l.write()
	}
}

// add notes a line. The caller holds mu.
func (l *RequestLog) add(msg string, args []any) {
	if l.added++; l.added <= maxStoryLines {
		l.lines = append(l.lines, storyLine{time.Now(), msg, args})
	}
}

// allow reports whether the bounds on the log let one more story through.
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

// End notes the end of the request and writes its story if keep is true, if the
// request belongs to the sample, and if the bound on stories allows it.
func (l *RequestLog) End(keep bool, msg string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(msg, args)
	if l.open || (keep || l.sample) && l.allow() {
		l.write()
	}
}

// write writes the lines that are not written yet. The caller holds mu.
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

// tellSkipped logs, once a second at most, how many stories were left out.
func (s *stories) tellSkipped(h *Host) {
	now := int64(time.Since(s.began) / time.Second)
	if told := s.told.Load(); told == now || !s.told.CompareAndSwap(told, now) {
		return
	}
	if n := s.skipped.Swap(0); n > 0 {
		h.Logger.Warn("requests left out of the log", "requests", n)
	}
}
