package gateway

import "context"

// handleFunc processes a request. The one that a filter is passed runs the rest of the pipeline.
type handleFunc func(ctx context.Context, r *Request) error

// filter is one step of the pipeline. serve returns nil once the whole answer was written to the
// caller, or an error with a code of package resultcode.
type filter interface {
	serve(ctx context.Context, r *Request, next handleFunc) error
}

func chain(filters []filter) handleFunc {
	run := handleFunc(func(context.Context, *Request) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], run
		run = func(ctx context.Context, r *Request) error { return f.serve(ctx, r, rest) }
	}
	return run
}

// filters returns the steps of the pipeline in the order in which they run. The account is
// identified before the body is read, so that an unknown caller can't make the host buffer bodies, and the
// deadline is known by then, which bounds the time of the body.
func (g *Gateway) filters() []filter {
	return []filter{
		&awaitStart{gateway: g},
		&matchRoute{gateway: g},
		&identifyAccount{headers: &g.settings.Headers},
		&setDeadline{headers: &g.settings.Headers},
		&readBody{},
		&dispatch{gateway: g},
	}
}
