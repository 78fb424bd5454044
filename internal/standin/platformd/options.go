// Package platformd is a stand-in for the platform's services: the table, the
// object store, the host list and the rater. It keeps all data in memory and
// serves the protocol of package protocol. It enforces the platform's rate
// limits and injects faults on request. It is for tests and development.
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

// Options configures New and Run. Zero values select the defaults.
type Options struct {
	// Listen is the IP and port that Run listens on. Default: DefaultListen.
	Listen string
	// CommitsPerSecond limits the rate of commits and object writes together.
	// Default: DefaultCommitsPerSecond.
	CommitsPerSecond float64
	// ReadsPerSecond limits the rate of row reads, row lists and object reads
	// together. Default: DefaultReadsPerSecond.
	ReadsPerSecond float64
	// HostLag is how late changes appear in the host list. Default: 0.
	HostLag time.Duration
	// Rater configures the ratings of answers.
	Rater memory.RaterOptions
	// MaxBody limits the size of a request body, in bytes. Default:
	// DefaultMaxBody.
	MaxBody int64
	// OnReady is called by Run with the address that it listens on. Default:
	// none.
	OnReady func(address string)
}

func (o Options) withDefaults() Options {
	o.Listen = cmp.Or(o.Listen, DefaultListen)
	o.CommitsPerSecond = cmp.Or(o.CommitsPerSecond, DefaultCommitsPerSecond)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	return o
}
