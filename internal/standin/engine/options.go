// Package engine is a small stand-in for a model engine: continuous batching,
// a prefix cache, resumable streams, load reports and orders, with faults on
// demand. It is scaffolding for tests, not a model server.
package engine

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultCapacity    = 8
	DefaultMaxQueue    = 1024
	DefaultCacheBlocks = 1024
	DefaultKeepAnswers = 30 * time.Second
)

// Options are the settings of New. Zero values mean the defaults.
type Options struct {
	// Listen is the address to listen on. Default: 127.0.0.1, a free port.
	Listen string
	// Name is the model pool's name, ID the host's, Zone its availability zone.
	Name string
	ID   string
	Zone string
	// Versions are the loaded versions as "model@version".
	Versions []string
	// Capacity is how many requests run at once. Default: 8.
	Capacity int
	// MaxQueue is how many requests wait; more are refused. Default: 1,024.
	MaxQueue int
	// PrefillPerToken is the time for each prompt token that isn't cached.
	// Default: none.
	PrefillPerToken time.Duration
	// TimePerToken is the time for an output token at a batch of one.
	// Default: none.
	TimePerToken time.Duration
	// BatchSlowdown is the part of TimePerToken that each further request in
	// the batch adds. Default: 0.
	BatchSlowdown float64
	// CacheBlocks is the size of the prefix cache, in blocks of blockTokens.
	// Default: 1,024.
	CacheBlocks int
	// CacheEventLag is how late cache events are published. Default: none.
	CacheEventLag time.Duration
	// CacheEventLoss drops each n-th cache event; its number stays unused.
	// Default: 0, none is lost.
	CacheEventLoss int
	// LoadLag is how old the load report is. Default: none.
	LoadLag time.Duration
	// Fenced makes the engine refuse orders with a lower fencing number than
	// it has seen. Default: false.
	Fenced bool
	// LoadTime is how long the loading of a version takes. Default: none.
	LoadTime time.Duration
	// Fatal is a text in a prompt that ends the engine FatalAfter it began to run it, by
	// End. Default: none.
	Fatal      string
	FatalAfter time.Duration
	End        func()
	// KeepAnswers is how long a finished answer can be resumed. Default: 30 s.
	KeepAnswers time.Duration
	// Seed seeds the random faults. Default: 0.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.Capacity = cmp.Or(o.Capacity, DefaultCapacity)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, DefaultCacheBlocks)
	o.KeepAnswers = cmp.Or(o.KeepAnswers, DefaultKeepAnswers)
	return o
}
