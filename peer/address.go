package peer

import (
	"net"

	"github.com/pkg/errors"
)

// CheckAdvertised returns an error if an instance listens on an unspecified
// address, such as 0.0.0.0, and does not configure an address to advertise. Other
// instances could not reach it. An empty listen address is accepted.
func CheckAdvertised(listen, advertise string) error {
	if listen == "" || advertise != "" {
		return nil
	}
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
		return errors.Errorf("listening on %s requires an address to advertise", listen)
	}
	return nil
}
