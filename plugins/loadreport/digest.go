package loadreport

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// Limits and encoding of the digests.
const (
	// serversPerDigest is the maximum number of servers in one digest, so that it
	// fits into a datagram.
	serversPerDigest = 16
	maxDigests       = 16
	// warmScale is the encoded value of a fully warm server. LoadReport.Warm, from
	// 0 to 1, is encoded as an integer from 0 to warmScale.
	warmScale = 100
)

// Limits on the age of reports.
const (
	// maxShareAge is the age after which a report is no longer shared.
	maxShareAge = 5 * time.Second
	// maxAcceptAge is the age after which a report from another instance is
	// ignored.
	maxAcceptAge = 10 * time.Second
)

// sharedReport is a load report as shared with other instances.
type sharedReport struct {
	_      struct{} `cbor:",toarray"`
	Server uint64
	// Running and Waiting are the numbers of the server's running and queued calls.
	Running uint32
	Waiting uint32
	Warm    uint8
	Boot    string
	// Version is an index into the digest's Versions.
	Version uint8
	// AtMS is the time of the report by the server's clock, in milliseconds before
	// the digest's NewestMS.
	AtMS uint32
	// AgeMS is the age of the report in milliseconds when the digest was made.
	AgeMS uint32
}

// reportDigest is the payload of one digest. NewestMS is the time of its newest
// report in Unix milliseconds.
type reportDigest struct {
	_        struct{} `cbor:",toarray"`
	NewestMS int64
	Versions []string
	Reports  []sharedReport
}

var errMalformedDigest = errors.New("malformed load report digest")

// digestKind returns the kind under which the digest with an index is shared.
func digestKind(index int) string { return "load." + strconv.Itoa(index) }

// registerDigests registers the digests that this instance sends and receives.
func (m *Module) registerDigests() {
	if m.host.Digests == nil {
		return
	}
	for i := range maxDigests {
		m.host.Digests.Source(digestKind(i), func() []byte {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.digests[i]
		})
		m.host.Digests.Sink(digestKind(i), m.receiveDigest)
	}
}

// updateDigests drops the reports of servers that other instances poll now, and
// encodes the digests of the remaining reports that are recent enough.
func (m *Module) updateDigests(assigned []*target, now time.Time) {
	slices.SortFunc(assigned, func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := make(map[string]polledReport, len(assigned))
	var recent []*target
	for _, t := range assigned {
		polled, ok := m.polledReports[t.server.ID]
		if !ok {
			continue
		}
		kept[t.server.ID] = polled
		if now.Sub(polled.at) <= maxShareAge {
			recent = append(recent, t)
		}
	}
	m.polledReports = kept
	for i := range m.digests {
		n := min(len(recent), serversPerDigest)
		m.digests[i] = m.encode(recent[:n], now, m.digests[i] != nil)
		recent = recent[n:]
	}
}

// encode encodes one digest. It returns nil if the list is empty, unless an empty
// digest has to replace an earlier one. The caller holds mu.
func (m *Module) encode(list []*target, now time.Time, replaces bool) []byte {
	if len(list) == 0 && !replaces {
		return nil
	}
	var d reportDigest
	for _, t := range list {
		d.NewestMS = max(d.NewestMS, m.polledReports[t.server.ID].report.At.UnixMilli())
	}
	for _, t := range list {
		polled := m.polledReports[t.server.ID]
		d.Reports = append(d.Reports, sharedReport{
			Server: t.hash, Running: uint32(polled.report.Running), Waiting: uint32(polled.report.Waiting),
			Warm: uint8(math.Round(polled.report.Warm * warmScale)), Boot: policy.BootKey(polled.report.Boot),
			Version: d.version(polled.report.Version),
			AtMS:    clampMS(d.NewestMS - polled.report.At.UnixMilli()), AgeMS: clampMS(now.Sub(polled.at).Milliseconds()),
		})
	}
	payload, err := cbor.Marshal(d)
	if err != nil {
		panic("loadreport: " + err.Error())
	}
	return payload
}

// version returns the index of a version in Versions, and adds it if it is new.
func (d *reportDigest) version(v string) uint8 {
	i := slices.Index(d.Versions, v)
	if i < 0 {
		i = len(d.Versions)
		d.Versions = append(d.Versions, v)
	}
	return uint8(i)
}

func clampMS(ms int64) uint32 { return uint32(min(max(ms, 0), math.MaxUint32)) }

// receiveDigest passes the reports in another instance's digest to the kernel.
func (m *Module) receiveDigest(digest kernel.Digest) {
	d, err := decode(digest.Payload)
	if err != nil {
		m.host.Counter("loadreport_digests_refused").Inc(1)
		return
	}
	now := time.Now()
	targets := m.targets()
	for _, r := range d.Reports {
		t := targets[r.Server]
		age := digest.Age + time.Duration(r.AgeMS)*time.Millisecond
		if t == nil || age > maxAcceptAge {
			m.host.Counter("loadreport_reports_ignored").Inc(1)
			continue
		}
		t.server.Report(now, d.report(r))
		m.host.Histogram("loadreport_age_seconds").Update(int64(age))
	}
}

// report converts a shared report to a policy.LoadReport.
func (d *reportDigest) report(r sharedReport) policy.LoadReport {
	return policy.LoadReport{
		Running: int(r.Running), Waiting: int(r.Waiting), Warm: float64(r.Warm) / warmScale,
		Boot: r.Boot, Version: d.Versions[r.Version],
		At: time.UnixMilli(d.NewestMS - int64(r.AtMS)),
	}
}

// decode decodes a digest and checks its values.
func decode(payload []byte) (*reportDigest, error) {
	d := &reportDigest{}
	if err := cbor.Unmarshal(payload, d); err != nil {
		return nil, errMalformedDigest
	}
	for _, r := range d.Reports {
		if int(r.Version) >= len(d.Versions) || r.Warm > warmScale {
			return nil, errMalformedDigest
		}
	}
	return d, nil
}
