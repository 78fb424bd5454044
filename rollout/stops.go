package rollout

import (
	"cmp"
	"slices"
)

// Stopped says whether the version takes no new work, and why.
func (t *Tracker) Stopped(model, version string) (Stop, bool) {
	key := Key{model, version}
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped(key)
}

// Stops returns all stops that this host knows, for other hosts to adopt.
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

// AdoptStop takes over a stop that another host found, and says whether it
// was new. It applies to rules up to its epoch, also to rules that come later;
// only a rule with a higher epoch ends it.
func (t *Tracker) AdoptStop(stop Stop) bool {
	s := t.shard(stop.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[stop.Key()]; e != nil && e.rule.Epoch > stop.Epoch {
		return false
	}
	return s.addStop(stop)
}

// stopped returns the stop of a version that has a rule. Stops that a rule
// outdates are deleted when the rule is set.
func (s *shard) stopped(key Key) (Stop, bool) {
	if s.entries[key] == nil {
		return Stop{}, false
	}
	stop, ok := s.stops[key]
	return stop, ok
}

// addStop keeps the stop with the highest epoch, and among equals the first.
// Stops of versions without a rule are kept up to retiredKept.
func (s *shard) addStop(stop Stop) bool {
	known, ok := s.stops[stop.Key()]
	if ok && known.Epoch > stop.Epoch {
		return false
	}
	if ok && known.Epoch == stop.Epoch && !stop.before(known) {
		return false
	}
	if !ok && s.entries[stop.Key()] == nil && len(s.stops) >= retiredKept {
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

// export appends the records that changed after the mark.
func (e *entry) export(list []Evidence, mark uint64) []Evidence {
	if e.changed[e.own.Host] > mark {
		list = append(list, e.own.clone())
	}
	for host, p := range e.peers {
		if e.changed[host] > mark {
			list = append(list, p.clone())
		}
	}
	return list
}
