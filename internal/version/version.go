// Package version contains the version of the programs.
package version

// Version is the version that the programs print.
const Version = "0.1.0-dev"
