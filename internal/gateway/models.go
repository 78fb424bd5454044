package gateway

// modelSteps are the models that a request may be answered by, in the order in
// which they are tried. A cheap model goes first; its confidence, known before
// the caller has a byte, decides whether the next one is asked.
type modelSteps struct {
	models []string
	at     int
}

// startModels plans the models of a request.
func (g *Gateway) startModels(r *Request) *modelSteps {
	s := &modelSteps{}
	models := r.Route.Models
	if len(models) == 0 || r.Prompt.Model != g.settings.AnyModel {
		return s
	}
	s.models = models
	if len(models) > 2 {
		// The ones between cost nearly as much as the best and answer little
		// more than the cheapest.
		s.models = []string{models[0], models[len(models)-1]}
	}
	s.at = min(g.settings.FirstModel, len(s.models)-1)
	return s
}

// current is the model to be named, or empty if the caller's stays.
func (s *modelSteps) current() string {
	if len(s.models) == 0 {
		return ""
	}
	return s.models[s.at]
}

// best says whether the current model is the best of several.
func (s *modelSteps) best() bool { return len(s.models) > 1 && s.last() }

// last says that no better model is left to be asked.
func (s *modelSteps) last() bool { return s.at >= len(s.models)-1 }

// next is the model after the current one.
func (s *modelSteps) next() string { return s.models[min(s.at+1, len(s.models)-1)] }

// step goes on to the next model.
func (s *modelSteps) step() { s.at = min(s.at+1, len(s.models)-1) }
