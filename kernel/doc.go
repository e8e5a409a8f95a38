// Package kernel is the core of an instance: the registry of plug-ins and their
// life cycle, the path of a request, outcomes, and the snapshot of tables that
// a request sees from its first stage to its last.
//
// Plug-ins register a ModuleInfo in init and meet only in the interfaces of
// this package. An Instance provisions its modules, validates them, starts them
// in the order of their phases and stops them in reverse.
//
// Reads on the path of a request go through atomic pointers to immutable values
// (read-copy-update); writers build a new value and swap it in.
package kernel
