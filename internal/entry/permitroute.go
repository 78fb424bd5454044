package entry

import (
	"context"
	"slices"

	"github.com/quetzalweir/quetzalweir/resultcode"
)

// permitRoute looks up the route's name in the manifest and refuses routes that the
// account may not use. The filter chooseVersion later checks whether the account may
// use the version.
type permitRoute struct{}

// Serve implements Filter.
func (permitRoute) Serve(ctx context.Context, r *Request, next Next) error {
	if err := resolveRoute(r); err != nil {
		return err
	}
	return next(ctx, r)
}

func resolveRoute(r *Request) error {
	if r.Kind == KindService {
		return resolveService(r)
	}
	if cascade, ok := r.Policy.Cascade(r.Route); ok {
		if !slices.Contains(r.Account.Cascades, r.Route) {
			return resultcode.New(resultcode.ModelNotPermitted, "the account may not use cascade %q", r.Route)
		}
		r.Cascade = cascade
		return nil
	}
	if _, ok := r.Policy.Model(r.Route); !ok {
		return resultcode.New(resultcode.UnknownRoute, "no model or cascade is named %q", r.Route)
	}
	if !permitsModel(r, r.Route) {
		return resultcode.New(resultcode.ModelNotPermitted, "the account may not use model %q", r.Route)
	}
	r.Model = r.Route
	return nil
}

func permitsModel(r *Request, model string) bool {
	for _, p := range r.Account.Models {
		if p.Model == model {
			return true
		}
	}
	return false
}

func resolveService(r *Request) error {
	if _, ok := r.Policy.Service(r.Route); !ok {
		return resultcode.New(resultcode.UnknownRoute, "no service is named %q", r.Route)
	}
	if !slices.Contains(r.Account.Services, r.Route) {
		return resultcode.New(resultcode.ServiceNotPermitted, "the account may not use service %q", r.Route)
	}
	route, ok := r.Policy.Route(r.Route, r.Service.Method, stripQuery(r.Service.Path))
	if !ok {
		return resultcode.New(resultcode.UnknownRoute, "service %q has no such route", r.Route)
	}
	r.Repeatable = route.Idempotent
	r.Service.Idempotent = route.Idempotent
	return nil
}
