package admission

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/storage"
)

// ClassOptions configures a priority class.
type ClassOptions struct {
	Name string
	// MinShare is the part of capacity, from 0 to 1, that the class keeps
	// under the load of higher ones; default 0. The sum over all classes is at
	// most 1.
	MinShare float64
}

// Options configures a Queue or Scheduler.
type Options struct {
	// Capacity is the number of concurrent requests; 0 or less runs none.
	Capacity int
	// Classes are the classes, highest priority first.
	Classes []ClassOptions
	// MaxQueue bounds the waiting requests of all classes; default 1,024.
	MaxQueue int
	// Clock gives a Queue its time; nil means time.Now.
	Clock storage.Clock
}

const defaultMaxQueue = 1024

func (o Options) withDefaults() Options {
	defaults.Positive(&o.MaxQueue, defaultMaxQueue)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return o
}

// Ticket describes a request that asks to run.
type Ticket struct {
	// Account is the client account, which shares its class with others.
	Account string
	// Weight is the account's part in fair queueing; below 1 counts as 1.
	Weight int
	// Class is the name of a priority class.
	Class string
	// Priority orders requests of one account and class; lower goes first.
	Priority int
	// Deadline is when the answer must be complete; zero means none.
	Deadline time.Time
	// Estimate is the expected time that the request holds its place. Zero
	// means the mean of recent requests.
	Estimate time.Duration
	// Cost is the work that fair queueing charges the account, such as
	// expected tokens; zero means Estimate in seconds. All tickets of a
	// Queue use one unit.
	Cost float64
}
