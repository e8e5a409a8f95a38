package kernel

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/savoryfold/savoryfold/config"
)

// ModuleID names a plug-in, such as "placement.standard". The part before the
// last dot is the slot that it fills, if several may fill it.
type ModuleID string

// Slot returns the part before the last dot.
func (id ModuleID) Slot() string {
	i := strings.LastIndex(string(id), ".")
	if i < 0 {
		return ""
	}
	return string(id[:i])
}

// Phase orders the start of modules. Later phases may use earlier ones; stops
// go in reverse.
type Phase int

// The phases of a start.
const (
	PhasePolicy     Phase = iota // decisions, which use nothing
	PhasePlatform                // clients of the platform
	PhaseMembership              // members and messages between instances
	PhaseConfig                  // tables
	PhaseRequest                 // what the path of a request uses
	PhaseEntry                   // what accepts requests
)

// ModuleInfo describes a plug-in.
type ModuleInfo struct {
	ID    ModuleID
	Phase Phase
	// Settings are the keys that the module adds to the settings' schema.
	Settings []config.Key
	// New returns a new value, which may implement Provisioner, Validator,
	// Starter, Stopper and Dumper.
	New func() Module
}

// Module is a plug-in's value within one instance. What it offers to the
// kernel is found by the interfaces that it implements.
type Module any

// Provisioner is a module that prepares itself from settings. It must not
// start goroutines or open sockets.
type Provisioner interface{ Provision(h *Host) error }

// Validator is a module that checks itself after all are provisioned.
type Validator interface{ Validate() error }

// Starter is a module that opens sockets or starts goroutines. Start returns
// once the module works; the context ends when the instance stops at once.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a module that ends what Start began. It finishes work in progress
// until the context ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// StopPreparer is a module that has something to do at the beginning of a
// graceful stop, before any module is stopped. PrepareStop does not wait.
type StopPreparer interface{ PrepareStop() }

// Dumper is a module that adds its state to the instance's dump. The value is
// encoded as JSON and holds no secrets.
type Dumper interface{ Dump() any }

var (
	registryMu sync.RWMutex
	registry   = make(map[ModuleID]ModuleInfo)
)

// Register makes a plug-in known. It is called from init and panics if the ID
// is taken.
func Register(info ModuleInfo) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, ok := registry[info.ID]; ok {
		panic(fmt.Sprintf("kernel: module %s registered twice", info.ID))
	}
	registry[info.ID] = info
}

// Modules returns the registered plug-ins in order of phase and ID.
func Modules() []ModuleInfo {
	registryMu.RLock()
	defer registryMu.RUnlock()
	infos := make([]ModuleInfo, 0, len(registry))
	for _, info := range registry {
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b ModuleInfo) int {
		if a.Phase != b.Phase {
			return int(a.Phase - b.Phase)
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return infos
}

// slotChoices returns the names that may fill a slot.
func slotChoices(slot string) []string {
	var names []string
	for _, info := range Modules() {
		if info.ID.Slot() == slot {
			names = append(names, strings.TrimPrefix(string(info.ID), slot+"."))
		}
	}
	return names
}
