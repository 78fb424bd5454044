package placement

import "sync"

const (
	// acceptedGain is the weight of a new answer in the fraction of accepted answers.
	acceptedGain = 0.1
	// minAcceptedFraction is the fraction of accepted answers from which the cheap model is chosen.
	minAcceptedFraction = 0.5
	// cheapTrialInterval is the number of requests of which one runs on the cheap model while the best one is chosen, so
	// that the record follows a change of the requests or of the model.
	cheapTrialInterval = 16
)

// SingleRunModels chooses the model of requests that may run once, of one route. Their answers can't be replaced by
// those of a better model, so the choice is made beforehand, by whether the cheap model's recent answers reached the
// confidence that was required of them. The zero value has no record.
type SingleRunModels struct {
	mu sync.Mutex
	// accepted is the decayed fraction of the cheap model's answers that reached the required confidence.
	accepted float64
	observed bool
	// sinceTrial counts the requests since one last ran on the cheap model.
	sinceTrial int
}

// Observe records whether an answer of the cheap model reached the required confidence.
func (m *SingleRunModels) Observe(accepted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value := 0.0
	if accepted {
		value = 1
	}
	if !m.observed {
		m.accepted, m.observed = value, true
		return
	}
	m.accepted += acceptedGain * (value - m.accepted)
}

// UsesCheap reports whether the next request runs on the cheap model rather than on the best one.
func (m *SingleRunModels) UsesCheap() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.observed || m.accepted >= minAcceptedFraction {
		m.sinceTrial = 0
		return true
	}
	if m.sinceTrial++; m.sinceTrial >= cheapTrialInterval {
		m.sinceTrial = 0
		return true
	}
	return false
}
