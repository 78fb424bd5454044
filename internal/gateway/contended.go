package gateway

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// FeatureMode states for which services a feature is active.
type FeatureMode string

const (
	// FeatureAuto activates the feature for contended services: those whose upstreams state in
	// the load header how long work takes on their machines, and all that run language models if
	// the platform's settings say so (Settings.Contended).
	FeatureAuto FeatureMode = "auto"
	// FeatureOn activates the feature for all services that run language models.
	FeatureOn FeatureMode = "on"
	// FeatureOff activates the feature for no service.
	FeatureOff FeatureMode = "off"
)

// Features holds the modes of the features for contended services. The zero value of a mode means
// FeatureAuto.
type Features struct {
	// EngineState places prompts by the speed, the batch slots and the memory of each engine.
	EngineState FeatureMode
	// HoldRequests holds requests at the host until an engine can begin them in time, and refuses
	// those that can't be served.
	HoldRequests FeatureMode
	// AccountShares divides the engines' time among the client accounts.
	AccountShares FeatureMode
	// ReturnSchedule gives refused callers times at which there is capacity for them.
	ReturnSchedule FeatureMode
	// CacheFetch lets engines fetch cached parts of prompts from each other.
	CacheFetch FeatureMode
	// StreamMoves moves streams that can't end in time to other engines.
	StreamMoves FeatureMode
}

// isActive reports whether the feature is active for the service. The caller doesn't hold the
// shard's lock.
func (f *Fleet) isActive(mode FeatureMode, service string) bool {
	switch mode {
	case FeatureOff:
		return false
	case FeatureOn:
		return true
	}
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isContended()
}

// isContended reports whether the shard's service is a contended one. The caller holds the shard's
// lock.
func (s *shard) isContended() bool {
	if s.contended && !s.contendedAt.IsZero() && boottime.Since(s.contendedAt) > contendedRetention {
		s.contended = false
	}
	return s.contended || s.policy.allContended
}

// isActive reports whether the feature is active for the shard's service. The caller holds the
// shard's lock.
func (s *shard) isActive(mode FeatureMode) bool {
	return mode != FeatureOff && (mode == FeatureOn || s.isContended())
}

const (
	// slowdownField is the index of the field of the load header that states how long work takes,
	// in percent of the usual time.
	slowdownField = 3
	// contendedRetention is how long a service is contended after the last statement of one of its
	// upstreams. A host with a request every few seconds must not alternate between both ways of
	// serving.
	contendedRetention = time.Minute
	// maxStatedSlowdown bounds the statement, so that a wrong one doesn't exclude an upstream.
	maxStatedSlowdown = 10
)

// observeSlowdown records an upstream's statement of how long work takes on its machine.
func (m *member) observeSlowdown(percent string, now time.Time) {
	value, err := strconv.ParseFloat(strings.TrimSpace(percent), 64)
	if err != nil || math.IsNaN(value) || value <= 0 {
		return
	}
	u := m.ensureUsage()
	u.statedSlowdown, u.statedSlowdownAt = min(value/100, maxStatedSlowdown), now
	m.shard.contended, m.shard.contendedAt = true, now
}
