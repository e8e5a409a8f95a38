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
// last dot is its namespace: plug-ins of one namespace are alternatives.
type ModuleID string

// Namespace returns the part before the last dot, or "" if there is none.
func (id ModuleID) Namespace() string {
	i := strings.LastIndex(string(id), ".")
	if i < 0 {
		return ""
	}
	return string(id[:i])
}

// Phase determines the start order of modules. Modules may use those of earlier
// phases; they are stopped in reverse order.
type Phase int

// The phases, in start order.
const (
	PhasePolicy     Phase = iota // policies, which depend on no other module
	PhasePlatform                // clients of the platform
	PhaseMembership              // group membership and messages between instances
	PhaseConfig                  // configuration tables
	PhaseRequest                 // what request processing uses
	PhaseEntry                   // listeners that accept requests
)

// ModuleInfo describes a plug-in.
type ModuleInfo struct {
	ID    ModuleID
	Phase Phase
	// Settings are the keys that the module adds to the settings schema.
	Settings []config.Key
	// New returns a new value, which may implement Provisioner, Validator,
	// Starter, Stopper and Dumper.
	New func() Module
}

// Module is a plug-in's value within one instance. The kernel detects its
// capabilities by the interfaces that it implements.
type Module any

// Provisioner is a module that configures itself from the settings. Provision
// must not start goroutines or open sockets.
type Provisioner interface{ Provision(h *Host) error }

// Validator is a module that checks its configuration after all modules are
// provisioned.
type Validator interface{ Validate() error }

// Starter is a module that opens sockets or starts goroutines. Start returns
// once the module is operational. The context is cancelled when the instance
// has stopped.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a module that releases what Start opened. Stop finishes work in
// progress until the context ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// StopPreparer is a module that must act at the beginning of a graceful stop,
// before any module is stopped. PrepareStop does not block.
type StopPreparer interface{ PrepareStop() }

// Dumper is a module that adds its state to the instance's dump. The value is
// encoded as JSON and holds no secrets.
type Dumper interface{ Dump() any }

var (
	registryMu sync.RWMutex
	registry   = make(map[ModuleID]ModuleInfo)
)

// Register adds a plug-in to the registry. It is called from init and panics if
// the ID is already registered.
func Register(info ModuleInfo) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, ok := registry[info.ID]; ok {
		panic(fmt.Sprintf("kernel: module %s registered twice", info.ID))
	}
	registry[info.ID] = info
}

// Modules returns the registered plug-ins, sorted by phase and ID.
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

// namespaceChoices returns the names of the modules in a namespace.
func namespaceChoices(namespace string) []string {
	var names []string
	for _, info := range Modules() {
		if info.ID.Namespace() == namespace {
			names = append(names, strings.TrimPrefix(string(info.ID), namespace+"."))
		}
	}
	return names
}
