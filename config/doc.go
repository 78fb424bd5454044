// Package config decides which manifest is in force. A Store records accepted
// manifests as a sequence of epochs in the platform's table. A Watcher on each
// host puts the newest manifest in force, never goes back to an older one, and
// reports whether the host may accept new requests. The design and its reasons are
// in docs/design/0004-config-head.md.
//
// The entry host embeds both. Hosts that can reach neither the table nor any host
// that reads it can keep accepting requests with an older manifest if they are a
// majority; Store.ReportConfirmations returns which hosts have confirmed the
// newest one.
package config
