// Package rapidseed sets a fixed seed for the property tests of every package
// that imports it, so that CI runs are reproducible. The flag -rapid.seed
// overrides it.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

// seed is the seed of all property tests.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("rapidseed: " + err.Error())
	}
}
