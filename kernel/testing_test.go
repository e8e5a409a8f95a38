package kernel

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
	_ "github.com/savoryfold/savoryfold/test/rapidseed" // makes property tests reproducible
)

// testHost returns a host of an instance in the zone hobart that has no modules
// except the policies.
func testHost(t testing.TB, id string, d Decisions) *Host {
	t.Helper()
	settings, err := Schema().Load("test.ini", []byte("[instance]\nid = "+id+"\nzone = hobart\n"))
	if err != nil {
		t.Fatal(err)
	}
	return &Host{Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Decisions: d}
}

func standardDecisions() Decisions {
	return Decisions{
		Admission: policy.AdmitAll{}, Placement: &policy.RoundRobin{}, Limits: policy.AdaptiveLimits{},
		Retry: policy.BlindRetries{}, Queues: policy.FIFOQueues{}, Rollout: policy.LinearRollout{},
		Ejections: policy.OutlierEjections{},
	}
}

// testTables returns tables with one route and one pool, whose servers are
// alternately in two zones.
func testTables(t testing.TB, revision uint64, servers int, more string) *config.Tables {
	t.Helper()
	var b strings.Builder
	b.WriteString("[route answer]\nstages = encode\nencode.pool = encode\n[pool encode]\ncold_limit = 2\nlimit = 4\n")
	for i := range servers {
		zone := []string{"hobart", "burnie"}[i%2]
		fmt.Fprintf(&b, "server.s%d = zone=%s addr=127.0.0.1:%d\n", i, zone, 1000+i)
	}
	tables, err := config.ParseTables("test.ini", []byte(b.String()+more))
	if err != nil {
		t.Fatal(err)
	}
	tables.Revision = revision
	return tables
}
