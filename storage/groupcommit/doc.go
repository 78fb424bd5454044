// Package groupcommit merges concurrent transactions into fewer commits to the
// platform's table.
//
// The table handles a few hundred commits a second from the whole system, while
// one host can complete more requests than that. A Committer queues the
// transactions of its callers for a few milliseconds, merges those that touch
// different rows into one, and commits at a bounded rate. Each caller gets the
// outcome of its own transaction: when a merged commit fails on a condition,
// the failing transactions are found by reading their rows or by splitting.
//
// Components of the entry host that write to the table for each request use one.
// Transactions of different callers are applied in no particular order, and
// callers whose transactions are merged wait for the same response of the table.
package groupcommit
