// Package groupcommit merges concurrent transactions into few commits of the
// platform's table.
//
// The table takes a few hundred commits a second from the whole system, while
// one host can finish more requests than that. A Committer queues the
// transactions of its callers for a few milliseconds, joins those that touch
// different rows into one, and commits at a bounded rate. Each caller gets the
// outcome of its own transaction: when a merged commit fails on a condition,
// the failing transactions are found by reading their rows or by splitting.
//
// The entry host puts one between the table and what writes for each request.
// Transactions of different callers have no order, and callers whose
// transactions are merged wait for the same answer of the table.
package groupcommit
