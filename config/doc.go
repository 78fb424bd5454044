// Package config decides which manifest is in force. A Store accepts
// documents one after the other into the platform's table; a Watcher on each
// host puts the newest in force, never an older one again, and says whether
// the host may still take new work. docs/design/0004-config-head.md gives the
// reasons.
package config
