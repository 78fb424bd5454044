// Package storagetest tests implementations of package storage and what is
// built on them: conformance tests, and a check of histories of concurrent
// calls to a storage.Table against a model of a transactional key-value store.
//
// Tests of what is built on a table use three more parts: History and
// CheckModel for histories of their own operations, and FaultActions for state
// machines.
//
// A check speaks of the histories that it saw. It proves nothing about others,
// nor about the time that calls take.
package storagetest
