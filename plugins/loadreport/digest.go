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

// Sizes of the digests.
const (
	// chunkServers is the number of servers in one digest, so that it fits into
	// a datagram.
	chunkServers = 16
	maxChunks    = 16
	// warmScale turns a warmth from 0 to 1 into a whole number.
	warmScale = 100
)

// Ages of reports.
const (
	// maxShared is the age after which a report is no longer shared.
	maxShared = 5 * time.Second
	// maxTaken is the age after which a shared report is no longer taken in.
	maxTaken = 10 * time.Second
)

// sharedReport is a load report as shared with other instances.
type sharedReport struct {
	_      struct{} `cbor:",toarray"`
	Server uint64
	// Running and Waiting count the server's calls.
	Running uint32
	Waiting uint32
	Warm    uint8
	Boot    string
	// Version is an index of the digest's versions.
	Version uint8
	// AtMS is the server's time of the report, before the digest's newest.
	AtMS uint32
	// AgeMS is the age of the report when the digest was made.
	AgeMS uint32
}

// sharedReports is one digest.
type sharedReports struct {
	_        struct{} `cbor:",toarray"`
	NewestMS int64
	Versions []string
	Reports  []sharedReport
}

var errDigest = errors.New("load digest has a wrong form")

// kind is the name of the digest with a number.
func kind(chunk int) string { return "load." + strconv.Itoa(chunk) }

// share registers the digests.
func (m *Module) share() {
	if m.host.Digests == nil {
		return
	}
	for i := range maxChunks {
		m.host.Digests.Source(kind(i), func() []byte {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.chunks[i]
		})
		m.host.Digests.Sink(kind(i), m.take)
	}
}

// keep drops the reports of servers that others ask now, and makes the digests.
func (m *Module) keep(own []*target, now time.Time) {
	slices.SortFunc(own, func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := make(map[string]heard, len(own))
	var fresh []*target
	for _, t := range own {
		h, ok := m.heard[t.server.ID]
		if !ok {
			continue
		}
		kept[t.server.ID] = h
		if now.Sub(h.at) <= maxShared {
			fresh = append(fresh, t)
		}
	}
	m.heard = kept
	for i := range m.chunks {
		n := min(len(fresh), chunkServers)
		m.chunks[i] = m.encode(fresh[:n], now, m.chunks[i] != nil)
		fresh = fresh[n:]
	}
}

// encode makes one digest. An empty one is made only to replace another. The
// caller holds mu.
func (m *Module) encode(list []*target, now time.Time, replaces bool) []byte {
	if len(list) == 0 && !replaces {
		return nil
	}
	var d sharedReports
	for _, t := range list {
		d.NewestMS = max(d.NewestMS, m.heard[t.server.ID].report.At.UnixMilli())
	}
	for _, t := range list {
		h := m.heard[t.server.ID]
		d.Reports = append(d.Reports, sharedReport{
			Server: t.hash, Running: uint32(h.report.Running), Waiting: uint32(h.report.Waiting),
			Warm: uint8(math.Round(h.report.Warm * warmScale)), Boot: policy.BootKey(h.report.Boot),
			Version: d.version(h.report.Version),
			AtMS:    clampMS(d.NewestMS - h.report.At.UnixMilli()), AgeMS: clampMS(now.Sub(h.at).Milliseconds()),
		})
	}
	payload, err := cbor.Marshal(d)
	if err != nil {
		panic("loadreport: " + err.Error())
	}
	return payload
}

// version returns the index of a version, adding it if it is new.
func (d *sharedReports) version(v string) uint8 {
	i := slices.Index(d.Versions, v)
	if i < 0 {
		i = len(d.Versions)
		d.Versions = append(d.Versions, v)
	}
	return uint8(i)
}

func clampMS(ms int64) uint32 { return uint32(min(max(ms, 0), math.MaxUint32)) }

// take hands the reports of another instance's digest to the kernel.
func (m *Module) take(digest kernel.Digest) {
	d, err := decode(digest.Payload)
	if err != nil {
		m.host.Counter("loadreport_digests_refused").Inc(1)
		return
	}
	now := time.Now()
	targets := m.targets()
	for _, r := range d.Reports {
		t := targets[r.Server]
		old := digest.Age + time.Duration(r.AgeMS)*time.Millisecond
		if t == nil || old > maxTaken {
			m.host.Counter("loadreport_reports_ignored").Inc(1)
			continue
		}
		t.server.Report(now, d.report(r))
		m.host.Histogram("loadreport_age_seconds").Update(int64(old))
	}
}

// report turns a shared report into what the kernel takes.
func (d *sharedReports) report(r sharedReport) policy.LoadReport {
	return policy.LoadReport{
		Running: int(r.Running), Waiting: int(r.Waiting), Warm: float64(r.Warm) / warmScale,
		Boot: r.Boot, Version: d.Versions[r.Version],
		At: time.UnixMilli(d.NewestMS - int64(r.AtMS)),
	}
}

// decode reads and checks a digest.
func decode(payload []byte) (*sharedReports, error) {
	d := &sharedReports{}
	if err := cbor.Unmarshal(payload, d); err != nil {
		return nil, errDigest
	}
	for _, r := range d.Reports {
		if int(r.Version) >= len(d.Versions) || r.Warm > warmScale {
			return nil, errDigest
		}
	}
	return d, nil
}
