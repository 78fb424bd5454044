package admission

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/storage"
)

// ClassOptions configures a priority class.
type ClassOptions struct {
	Name string
	// MinShare is the proportion of the capacity, from 0 to 1, that the class
	// gets even if requests of higher classes wait; default 0. The sum over all
	// classes must be at most 1.
	MinShare float64
}

// Options configures a Queue or Scheduler.
type Options struct {
	// Capacity is the maximum number of concurrent requests; with 0 or less, no
	// request runs.
	Capacity int
	// Classes are the classes, highest priority first.
	Classes []ClassOptions
	// MaxQueue is the maximum number of waiting requests of all classes;
	// default 1,024.
	MaxQueue int
	// Clock is a Queue's source of time; nil means time.Now.
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

// Ticket describes a request for admission.
type Ticket struct {
	// Account is the client account.
	Account string
	// Weight is the account's weight in fair queueing; below 1 counts as 1.
	Weight int
	// Class is the name of a priority class.
	Class string
	// Priority orders requests of one account and class; lower is served first.
	Priority int
	// Deadline is when the answer must be complete; zero means none.
	Deadline time.Time
	// Estimate is the expected time for which the request holds its slot. Zero
	// means the mean of recent requests.
	Estimate time.Duration
	// Cost is the work that fair queueing charges the account, such as
	// expected tokens; zero means Estimate in seconds. All tickets of a Queue
	// use the same unit.
	Cost float64
}
