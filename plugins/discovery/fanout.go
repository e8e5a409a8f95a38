package discovery

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

// One instance of each availability zone, the zone's reader, reads the records
// of the store; the others of the zone ask it. So the calls of the store grow
// with the zones, not with the instances. Whoever gets no answer from its reader
// reads the store itself.

const (
	recordsPath = "/records"
	// peerWait is how long a reader may hold a request that finds nothing, and
	// peerSlack what its answer may take beyond that. A reader that stands still
	// must not keep its zone from news for longer than the bounds on
	// configuration allow.
	peerWait  = time.Second
	peerSlack = 300 * time.Millisecond
	// avoidTime is how long a reader that did not answer is left alone, avoidAway
	// one that answers but cannot tell: soon after the store came back, or after
	// it started, it can.
	avoidTime = 3 * time.Second
	avoidAway = 700 * time.Millisecond
	// standInPace is the least time between two reads of the store by an instance
	// that only stands in for its reader: a whole zone may do so.
	standInPace = 600 * time.Millisecond
	// historyLength is the number of records that a reader keeps for the
	// others. Who needs older ones reads the store.
	historyLength = 1000
	// maxRecordsRequest bounds a request for records in bytes.
	maxRecordsRequest = 4 << 10
)

// history is the newest records of a topic, as an instance read them.
type history struct {
	mu      sync.Mutex
	first   uint64                 // offset of the first record; guarded by mu
	records []platform.StoreRecord // guarded by mu
	// direct is true while the instance reads the store itself, and the store
	// answers.
	direct bool
	grown  chan struct{} // closed when there is more; guarded by mu
}

// reset begins a history anew at an offset.
func (h *history) reset(next uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.first, h.records = next, nil
	h.wake()
}

// add takes records that follow those that are held.
func (h *history) add(records []platform.StoreRecord) {
	if len(records) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, records...)
	if extra := len(h.records) - historyLength; extra > 0 {
		h.records = append([]platform.StoreRecord(nil), h.records[extra:]...)
		h.first += uint64(extra)
	}
	h.wake()
}

func (h *history) wake() {
	if h.grown != nil {
		close(h.grown)
		h.grown = nil
	}
}

func (h *history) setDirect(direct bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.direct = direct
	if !direct {
		h.wake()
	}
}

// from returns the records from an offset on. It reports whether the history
// can tell, and a channel that is closed when there may be more.
func (h *history) from(offset uint64) (records []platform.StoreRecord, grown <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.first + uint64(len(h.records))
	if !h.direct || offset < h.first || offset > next {
		return nil, nil, false
	}
	if h.grown == nil {
		h.grown = make(chan struct{})
	}
	return append(records, h.records[offset-h.first:]...), h.grown, true
}

// recordsRequest asks a zone's reader for records.
type recordsRequest struct {
	Topic string `cbor:"1,keyasint"`
	From  uint64 `cbor:"2,keyasint"`
}

type wireRecord struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
	Offset uint64 `cbor:"3,keyasint"`
}

// serveRecords answers another instance of the zone.
func (d *Discovery) serveRecords(w http.ResponseWriter, r *http.Request) {
	var q recordsRequest
	if err := cbor.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordsRequest)).Decode(&q); err != nil {
		http.Error(w, "no request for records", http.StatusBadRequest)
		return
	}
	watch := d.watchOf(q.Topic)
	if watch == nil {
		http.Error(w, "this instance does not read the topic", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), peerWait)
	defer cancel()
	for {
		records, grown, ok := watch.history.from(q.From)
		if !ok || !d.mayRead() {
			http.Error(w, notReading, http.StatusServiceUnavailable)
			return
		}
		if len(records) > 0 || ctx.Err() != nil {
			writeRecords(w, records)
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

// notReading tells another instance to ask the store itself.
const notReading = "this instance leaves, does not reach the store, or keeps no records that old"

// mayRead reports whether others may rest on what this instance reads.
func (d *Discovery) mayRead() bool {
	select {
	case <-d.leaving:
		return false
	default:
		return !d.away.Load()
	}
}

func writeRecords(w http.ResponseWriter, records []platform.StoreRecord) {
	out := make([]wireRecord, len(records))
	for i, r := range records {
		out[i] = wireRecord{r.Key, r.Value, r.Offset}
	}
	body, err := cbor.Marshal(out)
	if err != nil {
		panic("discovery: records: " + err.Error())
	}
	_, _ = w.Write(body) // an instance that left needs nothing
}

func (d *Discovery) watchOf(topic string) *watch {
	for _, w := range []*watch{d.operators, d.servers} {
		if w != nil && w.topic == topic {
			return w
		}
	}
	return nil
}

// reader returns the reader of this instance's zone, or no ID if it is this
// instance or cannot be asked.
func (d *Discovery) reader(now time.Time) kernel.FleetMember {
	best := d.zoneReader()
	if best.ID == d.host.ID() || d.avoided.Has(best.ID, now) {
		return kernel.FleetMember{}
	}
	return best
}

// standsIn reports whether another instance is the zone's reader.
func (d *Discovery) standsIn() bool {
	reader := d.zoneReader()
	return reader.ID != "" && reader.ID != d.host.ID()
}

// zoneReader returns the reader of this instance's zone; without an ID if no
// instance is known.
func (d *Discovery) zoneReader() kernel.FleetMember {
	if d.host.PeerCalls == nil {
		return kernel.FleetMember{}
	}
	zone := d.host.Zone()
	return kernel.FleetOwner(zone+"/reader", d.Members(), func(m kernel.FleetMember) bool { return m.Zone == zone && m.Address != "" })
}

// readFrom reads records from the zone's reader.
func (d *Discovery) readFrom(ctx context.Context, reader kernel.FleetMember, topic string, from uint64) ([]platform.StoreRecord, error) {
	body, err := cbor.Marshal(recordsRequest{topic, from})
	if err != nil {
		panic("discovery: request for records: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerSlack)
	defer cancel()
	data, err := d.host.PeerCalls.CallPeer(ctx, reader.Address, recordsPath, body)
	if err != nil {
		return nil, err
	}
	var wire []wireRecord
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "records of the zone's reader")
	}
	records := make([]platform.StoreRecord, len(wire))
	for i, r := range wire {
		if r.Offset != from+uint64(i) {
			return nil, errors.Errorf("records of the zone's reader: offset %d, want %d", r.Offset, from+uint64(i))
		}
		if len(r.Value) == 0 {
			r.Value = nil
		}
		records[i] = platform.StoreRecord{Key: r.Key, Value: r.Value, Offset: r.Offset}
	}
	return records, nil
}

// readPeer reads from the zone's reader if there is one. It reports whether it
// got an answer; otherwise the store has to be read.
func (d *Discovery) readPeer(ctx context.Context, topic string, from uint64) ([]platform.StoreRecord, bool) {
	reader := d.reader(time.Now())
	if reader.ID == "" {
		return nil, false
	}
	records, err := d.readFrom(ctx, reader, topic, from)
	if err == nil {
		return records, true
	}
	if ctx.Err() == nil {
		d.avoidReader(reader, recordsPath, err)
	}
	return nil, false
}

// avoidReader leaves a reader alone for a while.
func (d *Discovery) avoidReader(reader kernel.FleetMember, path string, err error) {
	pause := avoidTime
	if errors.Is(err, kernel.ErrPeerRefused) {
		pause = avoidAway
	}
	d.avoided.Add(reader.ID, time.Now().Add(pause))
	d.host.Counter("reader_lost").Inc(1)
	d.host.Logger.Info("the zone's reader does not answer, asking the store", "reader", reader.ID, "path", path, "for", pause, "error", err)
}
