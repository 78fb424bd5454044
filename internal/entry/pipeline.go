// Package entry is the entry host: it takes callers' requests through a
// pipeline of filters to an upstream and back.
//
// The order of the filters stands in (*Host).filters and nowhere else.
package entry

import "context"

// Next runs the rest of the pipeline.
type Next func(ctx context.Context, r *Request) error

// Filter is one step of the pipeline. It returns nil when the whole answer is
// in the request's sink, or an error whose resultcode says why not. A filter
// may act before and after it calls next, or not call it at all.
type Filter interface {
	Serve(ctx context.Context, r *Request, next Next) error
}

// chain puts filters together; the first one is outermost.
func chain(filters []Filter) Next {
	next := Next(func(context.Context, *Request) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		next = link(filters[i], next)
	}
	return next
}

func link(f Filter, next Next) Next {
	return func(ctx context.Context, r *Request) error {
		return f.Serve(ctx, r, next)
	}
}

// filters is the pipeline, outermost first.
//
// The claim stands before every refusal that depends on load or limits: only
// after it is known whether an earlier request with the same key ran may a
// refusal say "not run". The version is chosen after admission, so that a
// request which waited is decided by the manifest in force when it leaves the
// queue. The bill is recorded inside the claim, so that a claim is finished
// only after its bill is safe.
func (h *Host) filters() []Filter {
	return []Filter{
		&tally{ledger: h.ledger, metrics: h.metrics, log: h.log},
		&gate{watcher: h.watcher, stopping: &h.stopping},
		&identify{},
		&classify{},
		&permitRoute{},
		&claimOnce{claims: h.claims, log: h.log},
		&limitAccount{quota: h.quota},
		&bindSession{codec: h.codec},
		&bill{ledger: h.ledger, log: h.log},
		&cascadeSteps{learner: h.cascade, rater: h.platform.Rater, log: h.log},
		&admit{queues: h.queues},
		&chooseVersion{
			watcher:  h.watcher,
			rollout:  h.rollout,
			guard:    h.quarantine.guard,
			sampler:  h.sampler,
			registry: h.registry,
			codec:    h.codec,
			log:      h.log,
		},
		&dispatch{
			watcher: h.watcher,
			pool:    h.pool,
			engine:  h.engine,
			service: h.service,
			retries: h.retries,
			guard:   h.quarantine.guard,
			leaving: h.upstreamLeaving,
			log:     h.log,
			zone:    h.settings.Zone,
		},
	}
}
