// Package kernel is the core of an instance: the plug-in registry and module
// life cycle, request processing, outcomes, and the snapshot of the configuration
// tables that a request uses from its first stage to its last.
//
// Plug-ins register a ModuleInfo in init and depend on each other only through
// the interfaces of this package. An Instance provisions its modules, validates
// them, starts them in the order of their phases and stops them in reverse.
//
// The request path reads through atomic pointers to immutable values
// (read-copy-update); writers build a new value and swap it in.
package kernel
