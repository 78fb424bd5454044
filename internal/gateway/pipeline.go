package gateway

import "context"

// next runs the rest of the pipeline.
type next func(ctx context.Context, r *Request) error

// filter is one step of the pipeline. serve returns nil once the whole answer was delivered, or an
// error of package resultcode.
type filter interface {
	serve(ctx context.Context, r *Request, next next) error
}

func chain(filters []filter) next {
	run := next(func(context.Context, *Request) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], run
		run = func(ctx context.Context, r *Request) error { return f.serve(ctx, r, rest) }
	}
	return run
}

// filters returns the steps of the pipeline, outermost first. The caller is identified before the
// body is read, so that an unknown caller can't make the host buffer bodies.
func (g *Gateway) filters() []filter {
	return []filter{
		&awaitStart{gateway: g},
		&matchRoute{gateway: g},
		&identify{headers: &g.settings.Headers},
		&readBody{},
		&setDeadline{headers: &g.settings.Headers},
		&dispatch{gateway: g},
	}
}
