// Package config decides which manifest is in force. A Store accepts
// documents one after the other into the platform's table; a Watcher on each
// host puts the newest in force, never an older one again, and says whether
// the host may still take new work. docs/design/0004-config-head.md gives the
// reasons.
//
// The entry host embeds both. While a part of the hosts hears neither from the
// table nor from a host that does, a majority among them can go on with the
// manifest before; Store.Report says which hosts confirmed the newest.
package config
