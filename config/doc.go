// Package config holds the two kinds of configuration.
//
// Process settings are read once from an INI file and validated against a
// Schema, to which each plug-in adds its keys.
//
// Tables describe routes, pools, availability zones and client accounts.
// Operators edit them section by section while the system runs. A Tables value
// is immutable: each revision is a new value, which the kernel swaps in
// atomically.
package config
