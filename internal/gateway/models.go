package gateway

// modelSteps are the models that may answer a request, in the order in which they are tried. A
// cheap model goes first; its confidence, which is known before the caller has received a byte,
// decides whether the next one is tried.
type modelSteps struct {
	models []string
	at     int
}

// planModels returns the models to try for a request.
func (g *Gateway) planModels(r *Request) *modelSteps {
	s := &modelSteps{}
	models := r.Route.Models
	if len(models) == 0 || r.Prompt.Model != g.settings.AnyModel {
		return s
	}
	s.models = models
	if len(models) > 2 {
		// The models between cost nearly as much as the best and answer little more than the
		// cheapest.
		s.models = []string{models[0], models[len(models)-1]}
	}
	s.at = min(g.settings.FirstModelIndex, len(s.models)-1)
	return s
}

// current returns the model to request; empty if the caller's choice is kept.
func (s *modelSteps) current() string {
	if len(s.models) == 0 {
		return ""
	}
	return s.models[s.at]
}

// best reports whether the current model is the best of several.
func (s *modelSteps) best() bool { return len(s.models) > 1 && s.last() }

// last reports whether no better model is left to try.
func (s *modelSteps) last() bool { return s.at >= len(s.models)-1 }

// next returns the model after the current one.
func (s *modelSteps) next() string { return s.models[min(s.at+1, len(s.models)-1)] }

// advance moves to the next model.
func (s *modelSteps) advance() { s.at = min(s.at+1, len(s.models)-1) }
