// Package claim decides which attempt may run a request that may run at most
// once.
//
// The decision is a pure function of a prefix of a log stream. Each record is a
// Batch of entries, and Shard applies them in log order. The first claim of a
// free key wins. An attempt that is already on the log never wins again, and a
// key older than the window cannot be claimed. A Shard that starts at a later
// record than the first gives the same verdicts, provided that it covers the
// window before the claim's own record.
//
// The package does no I/O and reads no clock. All times are log times: the
// timestamps that the log service gives to its records.
package claim
