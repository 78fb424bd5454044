// Package entry implements the entry host, which runs callers' requests through a
// pipeline of filters and forwards them to upstreams.
//
// The order of the filters is defined in (*Host).filters only.
package entry

import "context"

// Next runs the remaining filters of the pipeline.
type Next func(ctx context.Context, r *Request) error

// Filter is one step of the pipeline. It returns nil if the complete answer is in
// the request's sink, or else an error with the result code. A filter may act before
// and after it calls next, or return without calling it.
type Filter interface {
	Serve(ctx context.Context, r *Request, next Next) error
}

// chain combines filters into one function. The first filter is the outermost.
func chain(filters []Filter) Next {
	next := Next(func(context.Context, *Request) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		next = wrap(filters[i], next)
	}
	return next
}

func wrap(f Filter, next Next) Next {
	return func(ctx context.Context, r *Request) error {
		return f.Serve(ctx, r, next)
	}
}

// filters returns the pipeline, outermost filter first.
//
// The claim precedes every refusal that depends on load or limits, because a refusal
// may state "not run" only after the host has determined whether an earlier request
// with the same key ran. The version is chosen after admission, so that a request
// that waited is subject to the manifest in force when it leaves the queue. The
// filter recordBill is inside the filter claimOnce, so that a claim is finished only
// after the request's bill has been recorded.
func (h *Host) filters() []Filter {
	return []Filter{
		&countRequest{ledger: h.ledger, metrics: h.metrics, log: h.log},
		&checkServing{watcher: h.manifestWatcher, stopping: &h.stopping},
		&identify{},
		&classify{},
		&permitRoute{},
		&claimOnce{claims: h.claims, log: h.log},
		&limitAccount{quota: h.quota},
		&readSession{codec: h.sessionCodec},
		&recordBill{ledger: h.ledger, log: h.log},
		&runCascade{learner: h.cascade, rater: h.platform.Rater, plannedStop: h.plannedStop, log: h.log},
		&admit{queues: h.queues},
		&chooseVersion{
			watcher:  h.manifestWatcher,
			rollout:  h.rollout,
			guard:    h.quarantine.guard,
			sampler:  h.sampler,
			sessions: h.sessions,
			codec:    h.sessionCodec,
			log:      h.log,
		},
		&dispatch{
			watcher:     h.manifestWatcher,
			pool:        h.pool,
			engine:      h.engine,
			service:     h.service,
			retries:     h.retries,
			guard:       h.quarantine.guard,
			plannedStop: h.plannedStop,
			metrics:     h.metrics,
			log:         h.log,
			zone:        h.settings.Zone,
		},
	}
}
