// Package standin holds small stand-ins of the systems that savoryfold meets:
// model engines, plain services, the platform's log service, its list of
// instances and its weight store. They serve tests and the quickstart only.
//
// Every stand-in is a Server with a fault switchboard at /faults, which can be
// changed while it runs.
package standin
