package discovery

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/transfer"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

// One instance of each availability zone, the zone's reader, reads records from
// the store. The other instances of the zone read from it, so that the number of
// store calls grows with the zones and not with the instances. While the reader does not
// respond, the next candidate takes its place. An instance for which neither can read
// reads the store itself.

const (
	recordsPath = "/records"
	// peerReadWait is how long a reader may hold a request that finds no records,
	// and peerReadSlack is the time allowed beyond that until its response begins.
	// peerTransferTimeout bounds the rest of the response. A reader that hangs or
	// has a slow link must not delay updates for its zone beyond the time limits for
	// configuration changes.
	peerReadWait        = time.Second
	peerReadSlack       = 300 * time.Millisecond
	peerTransferTimeout = 1500 * time.Millisecond
	// secondReadWait and secondReadSlack apply to the second candidate: the failure of the
	// first has taken time already.
	secondReadWait  = 200 * time.Millisecond
	secondReadSlack = 200 * time.Millisecond
	// readerCandidates is the number of instances of a zone that read for the others in turn.
	readerCandidates = 2
	// takeoverTime is how long an instance reads the store for others after one of them has
	// asked it, if it would itself read from another instance. takeoverWait is how long a
	// request waits until it reads the store.
	takeoverTime = 3 * time.Second
	takeoverWait = 200 * time.Millisecond
	// cutOffPatience is how long an instance does not read the store itself while the
	// candidates respond but do not reach the store. If the store is away, all instances of
	// a zone would call it in vain, and all at once when it is back.
	cutOffPatience = 1200 * time.Millisecond
	// slowReceiveTime is how long the response to a read of a zone's reader may take to
	// arrive before the reader lets other instances read the store themselves.
	slowReceiveTime = 300 * time.Millisecond
	// unresponsiveReaderAvoidTime is how long a reader that did not respond is not
	// called again. refusingReaderAvoidTime applies to a reader that responds but
	// cannot serve the records. It is shorter because such a reader can serve them
	// soon after the store has recovered or the reader has started.
	unresponsiveReaderAvoidTime = 3 * time.Second
	refusingReaderAvoidTime     = 700 * time.Millisecond
	// fallbackReadInterval is the minimum time between two reads of the store by an
	// instance that bypasses its zone's reader. All instances of a zone may do so
	// at once.
	fallbackReadInterval = 600 * time.Millisecond
	// maxHistoryRecords is the number of records that a reader keeps for other
	// instances. An instance that needs older ones reads the store.
	maxHistoryRecords = 1000
	// maxRecordsRequestBytes limits the body of a request for records.
	maxRecordsRequestBytes = 4 << 10
)

// history holds the newest records of a topic that this instance has read, for
// other instances of its zone. Its records have consecutive offsets.
type history struct {
	mu      sync.Mutex
	first   uint64                 // offset of the first record; guarded by mu
	records []platform.StoreRecord // guarded by mu
	// direct is true while the instance reads the store itself and the reads
	// succeed; guarded by mu.
	direct  bool
	updated chan struct{} // closed on the next change; guarded by mu
}

// reset drops all records and restarts the history at an offset.
func (h *history) reset(next uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.first, h.records = next, nil
	h.wakeWaiters()
}

// add appends records that directly follow those held, and drops the oldest
// beyond maxHistoryRecords.
func (h *history) add(records []platform.StoreRecord) {
	if len(records) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, records...)
	if extra := len(h.records) - maxHistoryRecords; extra > 0 {
		h.records = append([]platform.StoreRecord(nil), h.records[extra:]...)
		h.first += uint64(extra)
	}
	h.wakeWaiters()
}

// wakeWaiters wakes the requests that wait for a change. The caller holds mu.
func (h *history) wakeWaiters() {
	if h.updated != nil {
		close(h.updated)
		h.updated = nil
	}
}

func (h *history) setDirect(direct bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.direct != direct {
		h.direct = direct
		h.wakeWaiters()
	}
}

func (h *history) isDirect() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.direct
}

// from returns the records from an offset on, and a channel that is closed when
// there may be more. It reports false, and still returns the channel, if the instance does
// not read the store itself or the history does not cover the offset.
func (h *history) from(offset uint64) (records []platform.StoreRecord, updated <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.first + uint64(len(h.records))
	if h.updated == nil {
		h.updated = make(chan struct{})
	}
	if !h.direct || offset < h.first || offset > next {
		return nil, h.updated, false
	}
	return append(records, h.records[offset-h.first:]...), h.updated, true
}

// recordsRequest asks a zone's reader for the records of a topic from an offset
// on.
type recordsRequest struct {
	Topic string `cbor:"1,keyasint"`
	From  uint64 `cbor:"2,keyasint"`
	// Era is the store's era of the offset.
	Era uint64 `cbor:"3,keyasint,omitempty"`
	// Wait is how long the reader may hold the request. Instances of earlier versions do not
	// state it.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}

// recordsResponse is the response to a request that states an era or a wait. The response
// to any other is a list of records only.
type recordsResponse struct {
	// Era is the era in which the reader has listed the topic. There are no records if it
	// is not that of the request.
	Era     uint64       `cbor:"1,keyasint"`
	Records []wireRecord `cbor:"2,keyasint"`
	// CutOff is true if the reader does not reach the store.
	CutOff bool `cbor:"3,keyasint,omitempty"`
}

type wireRecord struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
	Offset uint64 `cbor:"3,keyasint"`
}

// serveRecords serves records to another instance of the zone. A request that
// finds none waits up to peerReadWait.
func (d *Discovery) serveRecords(w http.ResponseWriter, r *http.Request) {
	var q recordsRequest
	if err := cbor.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordsRequestBytes)).Decode(&q); err != nil {
		http.Error(w, "no request for records", http.StatusBadRequest)
		return
	}
	watch := d.watchOf(q.Topic)
	if watch == nil {
		http.Error(w, "this instance does not read the topic", http.StatusServiceUnavailable)
		return
	}
	if q.Era > 0 {
		d.checkEra(q.Era)
	}
	wait := peerReadWait
	if q.Wait > 0 {
		wait = min(q.Wait, peerReadWait)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	takeover := time.After(takeoverWait)
	for {
		records, updated, ok := watch.history.from(q.From)
		if !watch.history.isDirect() && d.canServeReads() {
			d.takeOver(time.Now())
			select {
			case <-updated:
				continue
			case <-takeover:
			case <-ctx.Done():
			}
		}
		if era := watch.era.Load(); q.Era > 0 && era != q.Era {
			writeRecords(w, q, era, nil)
			return
		}
		if !ok || !d.canServeReads() {
			d.refuseRead(w, q, watch)
			return
		}
		if len(records) > 0 {
			writeRecords(w, q, q.Era, records)
			return
		}
		if watch.pending.receivingFor(time.Now()) > slowReceiveTime {
			http.Error(w, "this instance receives newer records slowly", http.StatusServiceUnavailable)
			return
		}
		if ctx.Err() != nil {
			writeRecords(w, q, q.Era, nil)
			return
		}
		select {
		case <-updated:
		case <-ctx.Done():
		}
	}
}

// refuseRead refuses a read, so that the other instance reads from another one or from the
// store.
func (d *Discovery) refuseRead(w http.ResponseWriter, q recordsRequest, watch *watch) {
	if !q.takesResponse() || d.isLeaving() || watch.history.isDirect() && d.canServeReads() {
		http.Error(w, notServingReads, http.StatusServiceUnavailable)
		return
	}
	writeResponse(w, recordsResponse{Era: q.Era, CutOff: true})
}

// takeOver makes this instance read the store for others that have asked it to, although
// it takes another one for the zone's reader.
func (d *Discovery) takeOver(now time.Time) {
	remote := d.readerIsRemote()
	before := d.takenOverUntil.Swap(now.Add(takeoverTime).UnixNano())
	if remote && before < now.UnixNano() {
		d.host.Counter("reader_takeovers").Inc(1)
		d.host.Logger.Info("another instance reads from this one, reading the store for it", "for", takeoverTime)
		interruptReads(d.watches())
	}
}

// notServingReads is the response that makes another instance read the store
// itself.
const notServingReads = "this instance leaves, does not reach the store, or keeps no records that old"

// canServeReads reports whether other instances may rely on this instance's
// reads: it is not leaving the fleet, and the store answers its heartbeat.
func (d *Discovery) canServeReads() bool { return !d.isLeaving() && !d.storeUnresponsive.Load() }

// isLeaving reports whether this instance is leaving the fleet.
func (d *Discovery) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// takesResponse reports whether the sender of a request expects a recordsResponse.
func (q recordsRequest) takesResponse() bool { return q.Era > 0 || q.Wait > 0 }

// writeRecords writes records of an era.
func writeRecords(w http.ResponseWriter, q recordsRequest, era uint64, records []platform.StoreRecord) {
	out := make([]wireRecord, len(records))
	for i, r := range records {
		out[i] = wireRecord{r.Key, r.Value, r.Offset}
	}
	var response any = out
	if q.takesResponse() {
		response = recordsResponse{Era: era, Records: out}
	}
	writeResponse(w, response)
}

// writeResponse writes a response to another instance.
func writeResponse(w http.ResponseWriter, response any) {
	body, err := cbor.Marshal(response)
	if err != nil {
		panic("discovery: response to another instance: " + err.Error())
	}
	_, _ = w.Write(body) // a peer that has disconnected needs no response
}

func (d *Discovery) watchOf(topic string) *watch {
	for _, w := range []*watch{d.operators, d.servers, d.sharedState} {
		if w != nil && w.topic == topic {
			return w
		}
	}
	return nil
}

// usableReader returns the instance that reads for this one: the first candidate of its zone
// that has not failed a call recently. The result has no ID if this instance reads the store
// itself or no candidate can be used. isSecond reports whether it is the second candidate.
func (d *Discovery) usableReader(now time.Time) (reader kernel.FleetMember, isSecond bool) {
	if now.UnixNano() < d.takenOverUntil.Load() {
		return kernel.FleetMember{}, false
	}
	for i, candidate := range d.zoneReaders() {
		if candidate.ID == d.host.ID() {
			break
		}
		if !d.avoidedReaders.Active(candidate.ID, now) {
			return candidate, i > 0
		}
	}
	return kernel.FleetMember{}, false
}

// readerIsRemote reports whether another instance is to read for this one, even if it
// cannot be used at the moment.
func (d *Discovery) readerIsRemote() bool {
	now := time.Now()
	if now.UnixNano() < d.takenOverUntil.Load() {
		return false
	}
	for _, candidate := range d.zoneReaders() {
		if candidate.ID == d.host.ID() {
			return false
		}
		if !d.avoidedReaders.Active(candidate.ID, now) {
			return true
		}
	}
	return len(d.zoneReaders()) > 0
}

// mayReadStore reports whether this instance may read the store itself now that it cannot
// read from another one.
func (d *Discovery) mayReadStore(now time.Time) bool {
	since := d.cutOffSince.Load()
	return since == nil || now.Sub(*since) >= cutOffPatience || !d.readerIsRemote()
}

// zoneReaders returns the candidates for the reader of this instance's zone, the first one
// first. It is empty if no instance of the zone that accepts calls is known.
func (d *Discovery) zoneReaders() []kernel.FleetMember {
	if d.host.PeerCalls == nil {
		return nil
	}
	return zoneReadersOf(d.host.Zone(), d.Members())
}

// zoneReadersOf returns the candidates for the reader of a zone: of its members with the
// largest capacity, since a reader sends every record to all others, and if there is only
// one of them, of the rest too.
func zoneReadersOf(zone string, members []kernel.FleetMember) []kernel.FleetMember {
	var readers []kernel.FleetMember
	for len(readers) < readerCandidates {
		callable := func(m kernel.FleetMember) bool {
			return m.Zone == zone && m.Address != "" && !slices.ContainsFunc(readers, func(r kernel.FleetMember) bool { return r.ID == m.ID })
		}
		var largest float64
		for _, m := range members {
			if callable(m) {
				largest = max(largest, m.Capacity)
			}
		}
		next := kernel.FleetOwner(zone+"/reader", members, func(m kernel.FleetMember) bool { return callable(m) && m.Capacity == largest })
		if next.ID == "" {
			break
		}
		readers = append(readers, next)
	}
	return readers
}

// readFrom reads records from the zone's reader.
func (d *Discovery) readFrom(ctx context.Context, reader kernel.FleetMember, isSecond bool, topic string, from, era uint64) ([]platform.StoreRecord, error) {
	wait, slack := peerReadWait, peerReadSlack
	if isSecond {
		wait, slack = secondReadWait, secondReadSlack
	}
	body, err := cbor.Marshal(recordsRequest{topic, from, era, wait})
	if err != nil {
		panic("discovery: request for records: " + err.Error())
	}
	ctx, call := transfer.Start(ctx, transfer.Limits{Begin: wait + slack, Rest: peerTransferTimeout})
	defer call.Stop()
	data, err := d.host.PeerCalls.CallPeer(ctx, reader.Address, recordsPath, body)
	if err != nil {
		return nil, err
	}
	wire, err := d.decodeRecords(data, era)
	if err != nil {
		return nil, err
	}
	records := make([]platform.StoreRecord, len(wire))
	for i, r := range wire {
		if r.Offset != from+uint64(i) {
			return nil, errors.Errorf("records from the zone's reader: got offset %d, want %d", r.Offset, from+uint64(i))
		}
		if len(r.Value) == 0 {
			r.Value = nil
		}
		records[i] = platform.StoreRecord{Key: r.Key, Value: r.Value, Offset: r.Offset}
	}
	return records, nil
}

// errReaderCutOff means that a reader does not reach the store.
var errReaderCutOff = errors.Wrap(kernel.ErrPeerRefused, "the reader does not reach the store")

// decodeRecords decodes the response of the zone's reader to a request for records of an
// era.
func (d *Discovery) decodeRecords(data []byte, era uint64) ([]wireRecord, error) {
	var wire []wireRecord
	if era == 0 && cbor.Unmarshal(data, &wire) == nil {
		return wire, nil // from an instance of an earlier version
	}
	var response recordsResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return nil, errors.Wrap(err, "decode records from the zone's reader")
	}
	if response.CutOff {
		return nil, errReaderCutOff
	}
	if response.Era != era {
		d.checkEra(response.Era)
		return nil, errors.Wrapf(kernel.ErrPeerRefused, "the zone's reader has records of era %d", response.Era)
	}
	return response.Records, nil
}

// readPeer reads records from the zone's reader if there is one. It reports
// whether that succeeded; if not, the store has to be read.
func (d *Discovery) readPeer(ctx context.Context, topic string, from, era uint64) ([]platform.StoreRecord, bool) {
	for range readerCandidates {
		reader, isSecond := d.usableReader(time.Now())
		if reader.ID == "" {
			break
		}
		records, err := d.readFrom(ctx, reader, isSecond, topic, from, era)
		if err == nil {
			// A response that was on its way while another call failed proves nothing.
			if !d.avoidedReaders.Active(reader.ID, time.Now()) {
				d.cutOffSince.Store(nil)
			}
			return records, true
		}
		if ctx.Err() != nil {
			break
		}
		d.noteCutOff(time.Now(), err)
		d.avoidReader(reader, recordsPath, err)
	}
	return nil, false
}

// noteCutOff records since when the candidates have not reached the store.
func (d *Discovery) noteCutOff(now time.Time, err error) {
	if errors.Is(err, errReaderCutOff) {
		d.cutOffSince.CompareAndSwap(nil, &now)
		return
	}
	d.cutOffSince.Store(nil)
}

// avoidReader excludes a reader after a failed call, for a time that depends on
// whether it responded at all.
func (d *Discovery) avoidReader(reader kernel.FleetMember, path string, err error) {
	pause := unresponsiveReaderAvoidTime
	if errors.Is(err, kernel.ErrPeerRefused) {
		pause = refusingReaderAvoidTime
	}
	d.avoidedReaders.Add(reader.ID, time.Now().Add(pause))
	d.host.Counter("reader_lost").Inc(1)
	d.host.Logger.Info("zone reader failed, not reading from it", "reader", reader.ID, "path", path, "for", pause, "error", err)
}
