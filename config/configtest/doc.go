// Package configtest runs the watchers of several hosts in one process, joined
// by a network that can be cut.
//
// Tests of package config use it, and tests of what embeds a config.Watcher can.
// Answers of peers take no time and aren't lost on the way; for a slow or failing
// table see package storage/faulty.
package configtest
