// Package engine is a stand-in for a model engine: it simulates continuous
// batching, a prefix cache, resumable streams, load reports and orders to load
// and unload versions, and injects faults on request. It generates text without
// a model and is for tests and development.
package engine

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultCapacity        = 8
	DefaultMaxQueue        = 1024
	DefaultCacheBlocks     = 1024
	DefaultAnswerRetention = 30 * time.Second
)

// Options configures New. Zero values select the defaults.
type Options struct {
	// Listen is the address to listen on. Default: a free port of 127.0.0.1.
	Listen string
	// Name is the name of the model pool, ID that of the host and Zone the
	// host's availability zone.
	Name string
	ID   string
	Zone string
	// Versions are the versions loaded at the start, as "model@version".
	Versions []string
	// Capacity is the maximum number of requests that run at once. Default: 8.
	Capacity int
	// MaxQueue is the maximum number of requests that wait; further ones are
	// refused. Default: 1,024.
	MaxQueue int
	// PrefillPerToken is the prefill time of each prompt token that isn't
	// cached. Default: 0.
	PrefillPerToken time.Duration
	// TimePerToken is the time of an output token at a batch size of 1.
	// Default: 0.
	TimePerToken time.Duration
	// BatchSlowdown is the fraction of TimePerToken that each further request
	// in the batch adds. Default: 0.
	BatchSlowdown float64
	// CacheBlocks is the size of the prefix cache, in blocks of blockTokens.
	// Default: 1,024.
	CacheBlocks int
	// CacheEventLag is how late cache events become visible. Default: 0.
	CacheEventLag time.Duration
	// CacheEventLossEvery drops every n-th cache event, which leaves a gap in
	// the numbers. Default: 0, no event is lost.
	CacheEventLossEvery int
	// LoadLag is the age of the load report. Default: 0.
	LoadLag time.Duration
	// Fenced makes the engine refuse orders whose fencing number is lower than
	// one that it has accepted. Default: false.
	Fenced bool
	// LoadTime is how long it takes to load a version. Default: 0.
	LoadTime time.Duration
	// PoisonText is a text that makes a request a poison request: OnPoison is
	// called PoisonDelay after the start of a run whose prompt contains it.
	// Default: none.
	PoisonText  string
	PoisonDelay time.Duration
	OnPoison    func()
	// AnswerRetention is how long a complete answer can be resumed. Default:
	// 30 s.
	AnswerRetention time.Duration
	// Seed is the seed of the random numbers behind ErrorRate. Default: 0.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.Capacity = cmp.Or(o.Capacity, DefaultCapacity)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, DefaultCacheBlocks)
	o.AnswerRetention = cmp.Or(o.AnswerRetention, DefaultAnswerRetention)
	return o
}
