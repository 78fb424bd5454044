// Package platformd is a stand-in of the platform's services: the table, the
// object store, the host list and the rater, in memory, over the protocol of
// package protocol. It keeps the platform's rate limits, and has faults that
// are switched on by call. It is for tests and development.
package platformd

import (
	"cmp"
	"time"

	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// Defaults of Options.
const (
	DefaultListen           = "127.0.0.1:0"
	DefaultCommitsPerSecond = 500
	DefaultReadsPerSecond   = 2000
	DefaultMaxBody          = 8 << 20
)

// Options set up a Server. Zero fields take their defaults.
type Options struct {
	// Listen is the IP and port that Run listens on; default DefaultListen.
	Listen string
	// CommitsPerSecond limits commits and object writes together; default
	// DefaultCommitsPerSecond.
	CommitsPerSecond float64
	// ReadsPerSecond limits row reads, lists and object reads together; default
	// DefaultReadsPerSecond.
	ReadsPerSecond float64
	// HostLag is the lag of the host list; default 0.
	HostLag time.Duration
	// Rater sets how answers are rated.
	Rater memory.RaterOptions
	// MaxBody bounds the body of a request, in bytes; default DefaultMaxBody.
	MaxBody int64
	// Ready is called by Run with the address that it listens on; default none.
	Ready func(address string)
}

func (o Options) withDefaults() Options {
	o.Listen = cmp.Or(o.Listen, DefaultListen)
	o.CommitsPerSecond = cmp.Or(o.CommitsPerSecond, DefaultCommitsPerSecond)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	return o
}
