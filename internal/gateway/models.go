package gateway

import "github.com/quetzalweir/quetzalweir/placement"

// modelSequence lists the models that may answer a request, in the order in which they are tried:
// the cheapest first, the best last. models is empty if the caller chose the model; index is the
// index of the current model. The confidence of a model's answer, which is known before the caller
// has received a byte, decides whether the next model is tried. A request that may run once runs on
// the first current model only.
type modelSequence struct {
	models []string
	index  int
}

// planModels returns the models to try for a request.
func (g *Gateway) planModels(r *Request) *modelSequence {
	s := &modelSequence{}
	models := r.Route.Models
	if len(models) == 0 || r.Prompt.Model != g.settings.AnyModel {
		return s
	}
	s.models = models
	if len(models) > 2 {
		// The models between the cheapest and the best one cost nearly as much as the best, and
		// answer few requests that the cheapest can't.
		s.models = []string{models[0], models[len(models)-1]}
	}
	s.index = min(g.settings.FirstModelIndex, len(s.models)-1)
	if !r.Route.Repeatable() && !s.atLast() && !g.singleRuns(r).UsesCheap() {
		s.advance()
	}
	return s
}

// singleRuns returns the record by which the model of a request that may run once is chosen.
func (g *Gateway) singleRuns(r *Request) *placement.SingleRunModels {
	return g.singleRunModels.get(r.Service + "/" + r.Route.Name)
}

// current returns the model that is to answer now; empty if the caller chose the model.
func (s *modelSequence) current() string {
	if len(s.models) == 0 {
		return ""
	}
	return s.models[s.index]
}

// atBest reports whether the current model is the best of several.
func (s *modelSequence) atBest() bool { return len(s.models) > 1 && s.atLast() }

// atLast reports whether no model is left to try after the current one.
func (s *modelSequence) atLast() bool { return s.index >= len(s.models)-1 }

// next returns the model after the current one, or the last one.
func (s *modelSequence) next() string { return s.models[min(s.index+1, len(s.models)-1)] }

// advance makes the next model the current one.
func (s *modelSequence) advance() { s.index = min(s.index+1, len(s.models)-1) }
