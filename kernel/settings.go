package kernel

import (
	"slices"

	"github.com/savoryfold/savoryfold/config"
)

// exclusiveNamespaces lists the module namespaces of which exactly one module is
// active, with the default module of each.
var exclusiveNamespaces = []struct{ name, standard, doc string }{
	{"admission", "standard", "decides which requests are admitted"},
	{"placement", "standard", "chooses backend servers"},
	{"limits", "standard", "limits the calls on each backend server"},
	{"retry", "standard", "decides whether failed calls are retried"},
	{"queue", "standard", "determines the order of waiting calls"},
	{"ejection", "standard", "ejects backend servers that fail"},
	{"rollout", "standard", "moves traffic between versions"},
	{"claims", "log", "ensures that non-idempotent requests run at most once"},
	{"membership", "gossip", "tracks the other instances"},
	{"configsource", "log", "provides the configuration tables"},
}

// Schema returns the settings schema of the kernel and all registered modules.
func Schema() *config.Schema {
	s := &config.Schema{}
	s.Add(
		config.Key{Section: "instance", Name: "id", Required: true, Doc: "name of this instance, unique among all instances"},
		config.Key{Section: "instance", Name: "zone", Required: true, Doc: "availability zone of this instance"},
		config.Key{Section: "instance", Name: "stop_timeout", Kind: config.Duration, Default: "30s", Doc: "maximum duration of a graceful stop; requests in progress get four fifths of it, and what is not expected to end by then is refused as not run"},
		config.Key{Section: "instance", Name: "settle", Kind: config.Duration, Default: "1s", Doc: "how long an instance that left still counts in the shares of the servers' limits, and how long a new instance uses no share"},
		config.Key{Section: "instance", Name: "disable", Kind: config.List, Doc: "IDs of modules that are disabled"},
		config.Key{Section: "log", Name: "format", Kind: config.Enum, Accepted: []string{"text", "json"}, Default: "text", Doc: "format of log lines"},
		config.Key{Section: "log", Name: "output", Kind: config.Enum, Accepted: []string{"stdout", "stderr"}, Default: "stdout", Doc: "output stream of the log"},
		config.Key{Section: "log", Name: "requests_per_second", Kind: config.Int, Default: "40", Doc: "maximum number of requests per second whose decisions are logged"},
		config.Key{Section: "log", Name: "level", Kind: config.Enum, Accepted: []string{"debug", "info", "warn", "error"}, Default: "info", Doc: "minimum level that is logged; the administration API can change it at run time"},
	)
	for _, namespace := range exclusiveNamespaces {
		choices := namespaceChoices(namespace.name)
		def := namespace.standard
		if !slices.Contains(choices, def) && len(choices) > 0 {
			def = choices[0]
		}
		s.Add(config.Key{Section: "policy", Name: namespace.name, Kind: config.Enum, Accepted: choices, Default: def, Doc: namespace.doc})
	}
	for _, info := range Modules() {
		s.Add(info.Settings...)
	}
	return s
}

// selected reports whether the settings enable a module.
func selected(s *config.Settings, info ModuleInfo) bool {
	if slices.Contains(s.Words("instance", "disable"), string(info.ID)) {
		return false
	}
	for _, namespace := range exclusiveNamespaces {
		if info.ID.Namespace() == namespace.name {
			return string(info.ID) == namespace.name+"."+s.String("policy", namespace.name)
		}
	}
	return true
}
