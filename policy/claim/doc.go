// Package claim decides which attempt may run a request that may run at most
// once.
//
// The decision is a pure function of a prefix of a log stream. Each record is a
// Batch of entries, and Shard folds them in their order: the first claim of a
// free key wins, an attempt that was seen once never wins again, and a key older
// than the window is never claimed. A fold that starts at a later record than
// the first gives the same verdicts as long as it covers the window before the
// claim's own record.
//
// The package does no I/O and reads no clock. Times are those of the log's
// records.
package claim
