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

// maxStoryLines bounds the lines of one request.
const maxStoryLines = 64

// RequestLog collects the decisions on one request. They are written together
// when the request ends: all lines, or none. The stories of requests that do
// not end well are always wanted, of the others a sample.
type RequestLog struct {
	host   *Host
	id     string
	sample bool

	mu    sync.Mutex
	lines []storyLine // guarded by mu
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
	return &RequestLog{host: h, id: id, sample: h.stories.count.Add(1)%sampleEvery == 0}
}

// Add notes a decision: what was decided, and the inputs as pairs of name and
// value.
func (l *RequestLog) Add(msg string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < maxStoryLines {
		l.lines = append(l.lines, storyLine{time.Now(), msg, args})
	}
}

// End notes the end of the request and writes its story if keep is true, if the
// request belongs to the sample, and if the bound on stories allows it.
func (l *RequestLog) End(keep bool, msg string, args ...any) {
	l.Add(msg, args...)
	if !keep && !l.sample || !l.host.Logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	s := &l.host.stories
	if !s.limiter.Allow() {
		s.skipped.Add(1)
		l.host.Counter("log_requests_skipped").Inc(1)
		return
	}
	s.tellSkipped(l.host)
	l.mu.Lock()
	defer l.mu.Unlock()
	handler := l.host.Logger.Handler()
	for _, line := range l.lines {
		r := slog.NewRecord(line.at, slog.LevelInfo, line.msg, 0)
		r.AddAttrs(slog.String("request", l.id))
		r.Add(line.args...)
		if err := handler.Handle(context.Background(), r); err != nil {
			l.host.Counter("log_lines_failed").Inc(1)
		}
	}
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
