package rollout

import (
	"cmp"
	"slices"
)

// Stopped returns the stop of the version, and whether it is stopped.
func (t *Tracker) Stopped(model, version string) (Stop, bool) {
	key := Key{model, version}
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped(key)
}

// Stops returns all stops that this host stores, for other hosts to adopt.
func (t *Tracker) Stops() []Stop {
	stops := []Stop{}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, stop := range s.stops {
			stops = append(stops, stop)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(stops, func(a, b Stop) int {
		return compareKeys(a.Key(), b.Key())
	})
	return stops
}

// AdoptStop stores a stop from another host and reports whether it changed the
// stored one. The stop applies to rules up to its round, including rules that
// are set later; only a rule with a higher round ends it.
func (t *Tracker) AdoptStop(stop Stop) bool {
	s := t.shard(stop.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[stop.Key()]; e != nil && e.rule.Round > stop.Round {
		return false
	}
	return s.addStop(stop)
}

// stopped returns the stop of a version that has a rule. Stops of lower rounds
// are deleted when a rule is set.
func (s *shard) stopped(key Key) (Stop, bool) {
	if s.entries[key] == nil {
		return Stop{}, false
	}
	stop, ok := s.stops[key]
	return stop, ok
}

// addStop stores the stop with the highest round, and among equal rounds the
// earliest. It reports whether the stored stop changed. Stops of versions
// without a rule are stored up to maxVersionsWithoutRule.
func (s *shard) addStop(stop Stop) bool {
	stored, ok := s.stops[stop.Key()]
	if ok && stored.Round > stop.Round {
		return false
	}
	if ok && stored.Round == stop.Round && !stop.before(stored) {
		return false
	}
	if !ok && s.entries[stop.Key()] == nil && len(s.stops) >= maxVersionsWithoutRule {
		return false
	}
	s.stops[stop.Key()] = stop
	return true
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

func compareEvidence(a, b Evidence) int {
	return cmp.Or(compareKeys(a.Key(), b.Key()), cmp.Compare(a.Host, b.Host))
}

// export appends to list the evidence of each host whose last change number is
// above since.
func (e *entry) export(list []Evidence, since uint64) []Evidence {
	if e.lastChanges[e.own.Host] > since {
		list = append(list, e.own.clone())
	}
	for host, p := range e.peers {
		if e.lastChanges[host] > since {
			list = append(list, p.clone())
		}
	}
	return list
}
