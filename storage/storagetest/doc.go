// Package storagetest tests implementations of package storage and packages built
// on them. It has conformance tests, and a check of histories of concurrent calls
// to a storage.Table against a model of a transactional key-value store.
//
// Tests of packages built on a table also use History and CheckModel, for
// histories of their own operations, and FaultActions, for state machines.
//
// A check covers only the histories that it is given. It proves nothing about
// others, nor about the time that calls take.
package storagetest
