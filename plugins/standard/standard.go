// Package standard imports all plug-ins for their side effect of registering
// their modules.
package standard

import (
	_ "github.com/savoryfold/savoryfold/plugins/admin"        // administration API
	_ "github.com/savoryfold/savoryfold/plugins/autoscale"    // orders of servers
	_ "github.com/savoryfold/savoryfold/plugins/backendhttp"  // calls to backend servers
	_ "github.com/savoryfold/savoryfold/plugins/claims"       // at-most-once requests
	_ "github.com/savoryfold/savoryfold/plugins/configsource" // sources of the configuration tables
	_ "github.com/savoryfold/savoryfold/plugins/crashguard"   // refusal of requests that crash servers
	_ "github.com/savoryfold/savoryfold/plugins/discovery"    // catalog from the platform's metadata store
	_ "github.com/savoryfold/savoryfold/plugins/duties"       // singleton duties and usage reports
	_ "github.com/savoryfold/savoryfold/plugins/entryhttp"    // requests from callers
	_ "github.com/savoryfold/savoryfold/plugins/forward"      // pass-through requests to backend servers
	_ "github.com/savoryfold/savoryfold/plugins/loadreport"   // load reports of backend servers
	_ "github.com/savoryfold/savoryfold/plugins/membership"   // membership of instances
	_ "github.com/savoryfold/savoryfold/plugins/orders"       // orders to engines
	_ "github.com/savoryfold/savoryfold/plugins/partguard"    // refusal of prompt parts that crash servers
	_ "github.com/savoryfold/savoryfold/plugins/peerhttp"     // calls between instances
	_ "github.com/savoryfold/savoryfold/plugins/peerquic"     // requests between instances
	_ "github.com/savoryfold/savoryfold/plugins/platformlog"  // log service
	_ "github.com/savoryfold/savoryfold/plugins/policies"     // policy implementations
	_ "github.com/savoryfold/savoryfold/plugins/rollout"      // version moves of routes
	_ "github.com/savoryfold/savoryfold/plugins/serverrates"  // request rates of backend servers
	_ "github.com/savoryfold/savoryfold/plugins/servicemoves" // version moves of services
	_ "github.com/savoryfold/savoryfold/plugins/slots"        // call slots leased from other instances
	_ "github.com/savoryfold/savoryfold/plugins/stages"       // stages that batch pieces
)
