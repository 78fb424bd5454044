// Package configtest runs the watchers of several hosts in one process, connected
// by a simulated network that can be partitioned.
//
// It serves the tests of package config and of packages that embed a config.Watcher.
// Responses of peers arrive at once and are never lost; for a slow or failing table
// see package storage/faulty.
package configtest
