package policy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxBootKey is the maximum length, in bytes, of a boot identifier that is used
// unchanged as the key.
const maxBootKey = 12

// bootKeyBase is the number base in which the hash of a longer boot identifier
// is written.
const bootKeyBase = 36

// BootKey returns a short form of a backend server's boot identifier. Instances
// compare and exchange these keys, so that a report from the server and one from
// another instance identify the same boot. BootKey is idempotent.
func BootKey(boot string) string {
	if len(boot) <= maxBootKey {
		return boot
	}
	return strconv.FormatUint(xxhash.Sum64String(boot)>>8, bootKeyBase)
}
