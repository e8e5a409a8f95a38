package kernel

import (
	"slices"

	"github.com/savoryfold/savoryfold/config"
)

// Slots that exactly one module fills, with the module that fills each unless
// the settings name another.
var slots = []struct{ name, standard, doc string }{
	{"admission", "standard", "decides which requests start"},
	{"placement", "standard", "chooses backend servers"},
	{"limits", "standard", "limits the calls on each backend server"},
	{"retry", "standard", "decides on calls after a failure"},
	{"queue", "standard", "orders waiting calls"},
	{"ejection", "standard", "leaves out backend servers that fail"},
	{"rollout", "standard", "moves traffic between versions"},
	{"claims", "log", "lets a request that may not be repeated run at most once"},
	{"membership", "gossip", "knows the other instances"},
	{"configsource", "log", "brings the tables"},
}

// Schema returns the settings that the kernel and all registered modules know.
func Schema() *config.Schema {
	s := &config.Schema{}
	s.Add(
		config.Key{Section: "instance", Name: "id", Required: true, Doc: "name of this instance, unique among all"},
		config.Key{Section: "instance", Name: "zone", Required: true, Doc: "availability zone of this instance"},
		config.Key{Section: "instance", Name: "stop_timeout", Kind: config.Duration, Default: "30s", Doc: "longest graceful stop; requests in progress have four fifths of it, so routes with longer deadlines may be cut"},
		config.Key{Section: "instance", Name: "settle", Kind: config.Duration, Default: "1s", Doc: "how long an instance that left still counts in the shares of the servers' limits, and how long a new one uses none"},
		config.Key{Section: "instance", Name: "disable", Kind: config.List, Doc: "modules that are left out, by ID"},
		config.Key{Section: "log", Name: "format", Kind: config.Enum, Accepted: []string{"text", "json"}, Default: "text", Doc: "form of log lines"},
		config.Key{Section: "log", Name: "output", Kind: config.Enum, Accepted: []string{"stdout", "stderr"}, Default: "stdout", Doc: "where log lines go"},
		config.Key{Section: "log", Name: "requests_per_second", Kind: config.Int, Default: "40", Doc: "most requests a second whose decisions are logged"},
		config.Key{Section: "log", Name: "level", Kind: config.Enum, Accepted: []string{"debug", "info", "warn", "error"}, Default: "info", Doc: "lowest level that is logged; the administration API changes it while the process runs"},
	)
	for _, slot := range slots {
		choices := slotChoices(slot.name)
		def := slot.standard
		if !slices.Contains(choices, def) && len(choices) > 0 {
			def = choices[0]
		}
		s.Add(config.Key{Section: "policy", Name: slot.name, Kind: config.Enum, Accepted: choices, Default: def, Doc: slot.doc})
	}
	for _, info := range Modules() {
		s.Add(info.Settings...)
	}
	return s
}

// selected reports whether the settings want a module.
func selected(s *config.Settings, info ModuleInfo) bool {
	if slices.Contains(s.Words("instance", "disable"), string(info.ID)) {
		return false
	}
	for _, slot := range slots {
		if info.ID.Slot() == slot.name {
			return string(info.ID) == slot.name+"."+s.String("policy", slot.name)
		}
	}
	return true
}
