// Package capacity works out what each part of an entry host needs at a given
// size: state, messages, processor time, memory, and calls of the platform's
// table.
//
// It is arithmetic over slopes that package measure took of the code itself.
// The intervals come from the packages' own constants, so that a changed
// default changes the result. docs/CAPACITY.md holds the tables and a test
// checks that they are current.
package capacity
