// Package catalog holds what an instance knows of routes, services, client
// accounts and backend servers. A Catalog is immutable: every change makes a
// new one that is swapped whole, so that a request sees one view from first to
// last. The package knows nothing of how the view was learned.
package catalog
