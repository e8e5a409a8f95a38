package policy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxBootKey is the length up to which a boot is its own key.
const maxBootKey = 12

// bootKeyBase is the base in which long boots' hashes are written.
const bootKeyBase = 36

// BootKey is a short form of a backend server's boot. Instances compare and
// share keys, so that a report from the server and one from another instance
// name the same boot alike. The key of a key is the key.
func BootKey(boot string) string {
	if len(boot) <= maxBootKey {
		return boot
	}
	return strconv.FormatUint(xxhash.Sum64String(boot)>>8, bootKeyBase)
}
