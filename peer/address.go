package peer

import (
	"net"

	"github.com/pkg/errors"
)

// CheckAdvertised reports an instance that listens on all addresses of its host
// and does not say which of them the others are to use.
func CheckAdvertised(listen, advertise string) error {
	if listen == "" || advertise != "" {
		return nil
	}
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
		return errors.Errorf("listening on %s needs the address to advertise", listen)
	}
	return nil
}
