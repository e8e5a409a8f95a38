package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// faultTimeout bounds a call that sets faults.
const faultTimeout = 2 * time.Second

// ServerFaults are the faults of a stand-in server during a run.
type ServerFaults struct {
	// Address is the server's host:port, Faults the JSON of its faults.
	Address, Faults string
}

// ParseServerFaults decodes "ADDRESS=JSON".
func ParseServerFaults(text string) (ServerFaults, error) {
	address, faults, ok := strings.Cut(text, "=")
	if !ok || address == "" || faults == "" {
		return ServerFaults{}, errors.Errorf("%q: want ADDRESS=JSON", text)
	}
	return ServerFaults{address, faults}, nil
}

// Inject sets the faults of servers. The returned function ends them. If a server does not
// take its faults, those that were set end before Inject returns the error.
func Inject(ctx context.Context, all []ServerFaults) (end func() error, err error) {
	set := 0
	end = func() error {
		var first error
		for _, f := range all[:set] {
			if err := (ServerFaults{f.Address, "{}"}).put(context.WithoutCancel(ctx)); first == nil {
				first = err
			}
		}
		return first
	}
	for _, f := range all {
		if err := f.put(ctx); err != nil {
			if endErr := end(); endErr != nil {
				return nil, errors.Wrap(err, endErr.Error())
			}
			return nil, err
		}
		set++
	}
	return end, nil
}

func (f ServerFaults) put(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.Address+"/faults", strings.NewReader(f.Faults))
	if err != nil {
		return errors.Wrap(err, "faults")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "faults")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return errors.Wrap(err, "faults")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("faults of %s: status %d: %s", f.Address, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}
