package standin

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the log service.
const (
	maxRecordBytes = 256 << 10
	maxReadRecords = 512
	maxReadWait    = 30 * time.Second
)

// LogFaults are the injected faults of a log service.
type LogFaults struct {
	// Down rejects every call with status 503.
	Down bool `json:"down"`
	// DelayMS delays every call.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the probability, from 0 to 1, that an append takes effect
	// but its connection breaks before the response.
	LoseResponses float64 `json:"lose_answers"`
	// LateAppends is the probability, from 0 to 1, that an append breaks its
	// connection and takes effect only LateMS milliseconds later.
	LateAppends float64 `json:"late_appends"`
	LateMS      int     `json:"late_ms"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// LogBatch is the response to a read. First and FirstTime are the offset and the
// time of the oldest retained record, Next is the offset of the next append.
type LogBatch struct {
	Records   []LogRecord `json:"records"`
	First     uint64      `json:"first"`
	FirstTime time.Time   `json:"first_time"`
	Next      uint64      `json:"next"`
	// Era is 1 more than the number of times the service was restored from an older copy.
	Era uint64 `json:"era"`
}

// LogService is an append-only log with any number of streams. The offsets of a
// stream start at 1.
//
//	POST /v1/records?stream=S                     append the body as one record
//	GET  /v1/records?stream=S&from=N&wait_ms=W    read, waiting for the first record
//	POST /restore?age=D                           lose the records of the last D
type LogService struct {
	faultInjector[LogFaults]
	// Retention is how long records are kept; 0 keeps them forever.
	Retention time.Duration
	limiter   *rate.Limiter

	mu      sync.Mutex
	streams map[string]*logStream // guarded by mu
	appends int                   // guarded by mu
	era     uint64                // guarded by mu
}

type logStream struct {
	records  []LogRecord
	next     uint64
	appended chan struct{} // closed at the next append
}

// NewLogService creates a log service. Appends beyond appendsPerSecond are rejected
// with status 429; 0 means no limit.
func NewLogService(retention time.Duration, appendsPerSecond float64) *LogService {
	limit := rate.Inf
	if appendsPerSecond > 0 {
		limit = rate.Limit(appendsPerSecond)
	}
	return &LogService{
		Retention: retention,
		limiter:   rate.NewLimiter(limit, int(appendsPerSecond/10)+1),
		streams:   make(map[string]*logStream),
		era:       1,
	}
}

// Handler returns the HTTP handler of the service.
func (s *LogService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/records", s.withFaults(s.serveAppend))
	mux.HandleFunc("GET /v1/records", s.withFaults(s.serveRead))
	mux.HandleFunc("POST /restore", s.serveRestore)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int{"appends": s.Appends()})
	})
	s.register(mux)
	return mux
}

// Appends returns the number of appends that took effect.
func (s *LogService) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Restore replaces the records by a copy of the given age: later ones are lost, their offsets
// are given out again, and a new era begins.
func (s *LogService) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	for _, st := range s.streams {
		kept := len(st.records)
		for kept > 0 && st.records[kept-1].Time.After(copied) {
			kept--
		}
		st.next -= uint64(len(st.records) - kept)
		st.records = slices.Clone(st.records[:kept])
	}
	s.era++
}

func (s *LogService) serveRestore(w http.ResponseWriter, r *http.Request) {
	age, err := time.ParseDuration(r.URL.Query().Get("age"))
	if err != nil || age < 0 {
		http.Error(w, "want ?age=D with a duration such as 9s", http.StatusBadRequest)
		return
	}
	s.Restore(age)
	w.WriteHeader(http.StatusNoContent)
}

func (s *LogService) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Get()
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (s *LogService) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || r.URL.Query().Get("stream") == "" {
		http.Error(w, "want ?stream=NAME and a record of at most 256 KiB", http.StatusBadRequest)
		return
	}
	if !s.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	stream, f := r.URL.Query().Get("stream"), s.Get()
	if rand.Float64() < f.LateAppends {
		time.AfterFunc(time.Duration(f.LateMS)*time.Millisecond, func() { s.append(stream, data) })
		panic(http.ErrAbortHandler)
	}
	offset := s.append(stream, data)
	if rand.Float64() < f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, map[string]uint64{"offset": offset})
}

// stream returns a stream and creates it if it does not exist. The caller holds mu.
func (s *LogService) stream(name string) *logStream {
	st := s.streams[name]
	if st == nil {
		st = &logStream{next: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *LogService) append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.next
	st.records = append(st.records, LogRecord{Offset: offset, Time: time.Now(), Data: data})
	st.next++
	s.appends++
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

// trim drops the records that are older than the retention. The caller holds mu.
func (s *LogService) trim(st *logStream) {
	if s.Retention <= 0 {
		return
	}
	oldest := time.Now().Add(-s.Retention)
	for len(st.records) > 0 && st.records[0].Time.Before(oldest) {
		st.records = st.records[1:]
	}
}

func (s *LogService) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil || q.Get("stream") == "" {
		http.Error(w, "want ?stream=NAME&from=OFFSET", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	defer cancel()
	for {
		batch, appended := s.read(q.Get("stream"), from)
		if len(batch.Records) > 0 || ctx.Err() != nil {
			writeJSON(w, batch)
			return
		}
		select {
		case <-appended:
		case <-ctx.Done():
		}
	}
}

func (s *LogService) read(name string, from uint64) (LogBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.trim(st)
	batch := LogBatch{First: st.next, Next: st.next, Era: s.era, Records: []LogRecord{}}
	if len(st.records) > 0 {
		batch.First = st.records[0].Offset
		batch.FirstTime = st.records[0].Time
	}
	if from < st.next && len(st.records) > 0 {
		remaining := st.records[max(from, batch.First)-batch.First:]
		batch.Records = append(batch.Records, remaining[:min(len(remaining), maxReadRecords)]...)
	}
	return batch, st.appended
}
