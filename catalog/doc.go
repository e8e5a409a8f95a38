// Package catalog holds the routes, services, client accounts and backend
// servers that an instance knows. A Catalog is immutable: every change builds a
// new one and swaps it in atomically, so a request uses the same catalog from
// its first stage to its last. The package does not depend on how the data is
// obtained.
package catalog
