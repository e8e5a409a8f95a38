package kernel

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrNotHolder means that this instance does not hold the fleet's duties, or not for long
// enough to perform the call.
var ErrNotHolder = errors.New("this instance does not hold the duties")

// Duties elects one instance, the holder, that performs the singleton duties of the fleet:
// calls to the platform that only one instance may make at a time.
type Duties interface {
	// Holds reports whether this instance is the holder.
	Holds(now time.Time) bool
	// OnReport registers a section of the reports that every instance sends to the holder.
	// collect returns the section of this instance, or nil if there is nothing to report. It
	// is called once for each report, at least every second. receive is called at the holder
	// with the section of every instance, its own included. OnReport must be called during
	// provisioning only.
	OnReport(section string, collect func(now time.Time) []byte, receive func(now time.Time, instance string, data []byte))
	// OrderServers orders a number of servers of a service in an availability zone from the
	// platform. It is made at most once; the error is ErrNotHolder if it was not made because
	// this instance is not the holder.
	OrderServers(ctx context.Context, service, zone string, count int) error
}

// UsageMeter counts the requests that backend servers have started, by client account.
type UsageMeter interface {
	// CountRun counts a request of an account that a server has started. account is
	// empty for a request on a public route, which is not counted.
	CountRun(now time.Time, account string)
}
