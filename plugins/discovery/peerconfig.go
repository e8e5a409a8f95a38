package discovery

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

// A store that was restored from an older copy may list a configuration that the instances
// have replaced. An instance that lists it then asks others for theirs.

const (
	configPath = "/config"
	// configCallTimeout limits the calls that get the configurations of other instances.
	configCallTimeout = 300 * time.Millisecond
	// maxConfigCalls is the number of instances that are asked.
	maxConfigCalls = 3
	// membersWait is how long an instance that starts waits for the fleet list before it
	// uses the configuration that the store lists. After a restore of the store, it also
	// waits until another instance can have joined the fleet again.
	membersWait = 100 * time.Millisecond
	// membersPollInterval is the time between two looks at the fleet list.
	membersPollInterval = 10 * time.Millisecond
	// maxConfigRequestBytes limits the body of a request for a configuration.
	maxConfigRequestBytes = 1 << 10
)

// configRecord is a record of the configuration, for other instances.
type configRecord struct {
	Version int64  `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
}

// serveConfig serves the active configuration if it is newer than that of the caller.
func (d *Discovery) serveConfig(w http.ResponseWriter, r *http.Request) {
	var q configRecord
	if err := cbor.NewDecoder(http.MaxBytesReader(w, r.Body, maxConfigRequestBytes)).Decode(&q); err != nil {
		http.Error(w, "no request for a configuration", http.StatusBadRequest)
		return
	}
	var response configRecord
	if own := d.configRecord.Load(); own != nil && own.Version > q.Version {
		response = *own
	}
	body, err := cbor.Marshal(response)
	if err != nil {
		panic("discovery: configuration: " + err.Error())
	}
	_, _ = w.Write(body) // a peer that has disconnected needs no response
}

// newerConfigs returns records of configurations of other instances that are newer than the
// one that the store has listed.
func (d *Discovery) newerConfigs(now time.Time, listed []platform.StoreRecord, kind recordsKind) []platform.StoreRecord {
	first := d.Catalog() == nil
	if d.host.PeerCalls == nil || !first && kind != restoredListing {
		return nil
	}
	known := configRecord{}
	if own := d.configRecord.Load(); own != nil {
		known.Version = own.Version
	}
	for _, r := range listed {
		if !platform.IsConfigKey(r.Key) {
			continue
		}
		if c, err := platform.DecodeConfig(r.Value); err == nil {
			known.Version = max(known.Version, c.Version)
		}
	}
	if known.Version == 0 {
		return nil // there is no configuration yet
	}
	if first {
		d.waitForMembers(now)
	}
	return d.askForConfigs(known)
}

// waitForMembers waits until the fleet list names another instance, but not for long.
func (d *Discovery) waitForMembers(now time.Time) {
	wait := membersWait
	if d.client.Era() > firstEra {
		wait += d.host.Settings.Duration(section, "member_ttl") / joinsPerTTL
	}
	for time.Since(now) < wait && len(d.Members()) < 2 && d.moduleCtx.Err() == nil {
		time.Sleep(membersPollInterval)
	}
}

// firstEra is the latest era of a store that was never restored.
const firstEra = 2

// askForConfigs asks some instances for a newer configuration than the known one.
func (d *Discovery) askForConfigs(known configRecord) []platform.StoreRecord {
	body, err := cbor.Marshal(known)
	if err != nil {
		panic("discovery: request for a configuration: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(d.moduleCtx, configCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var records []platform.StoreRecord
	var calls sync.WaitGroup
	for _, m := range d.otherMembers(maxConfigCalls) {
		calls.Go(func() {
			data, err := d.host.PeerCalls.CallPeer(ctx, m.Address, configPath, body)
			var response configRecord
			if err == nil {
				err = cbor.Unmarshal(data, &response)
			}
			if err != nil {
				d.host.Logger.Info("cannot get the configuration of another instance", "instance", m.ID, "error", err)
				return
			}
			if response.Version <= known.Version {
				return
			}
			d.host.Logger.Warn("another instance has a newer configuration than the store", "instance", m.ID, "version", response.Version, "store_version", known.Version)
			mu.Lock()
			defer mu.Unlock()
			records = append(records, platform.StoreRecord{Key: platform.ConfigKey, Value: response.Value})
		})
	}
	calls.Wait()
	return records
}

// otherMembers returns at most n other members of the fleet that accept calls, those of
// this instance's zone first.
func (d *Discovery) otherMembers(n int) []kernel.FleetMember {
	var same, others []kernel.FleetMember
	for _, m := range d.Members() {
		switch {
		case m.ID == d.host.ID() || m.Address == "":
		case m.Zone == d.host.Zone():
			same = append(same, m)
		default:
			others = append(others, m)
		}
	}
	all := append(same, others...)
	return all[:min(n, len(all))]
}
