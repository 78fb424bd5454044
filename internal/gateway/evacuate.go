package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// evacuations are the operators' rows that evacuate availability zones. What such a row says
// is of no matter, and so is whether it can be read: operators rely on its being there.
type evacuations struct {
	prefix string
	fleet  *Fleet

	mu sync.Mutex
	// zones are those that get nothing, with the revisions of their rows.
	zones map[string]storage.Revision
	era   eraWatch
}

func newEvacuations(prefix string, fleet *Fleet) *evacuations {
	return &evacuations{prefix: prefix, fleet: fleet, zones: make(map[string]storage.Revision)}
}

// zone is the availability zone that the row evacuates.
func (e *evacuations) zone(row feed.Row) (zone string, ok bool) {
	zone, ok = strings.CutPrefix(row.Key, e.prefix)
	return zone, ok && zone != ""
}

// replace takes the operators' whole table. Zones that were evacuated before the store came
// back from a copy that lacks it stay so until operators had the time to write it again.
func (e *evacuations) replace(rows []feed.Row, revision storage.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era.note(revision) {
		time.AfterFunc(rewriteTime, e.endRewriting)
	}
	listed := make(map[string]storage.Revision)
	for _, row := range rows {
		if zone, ok := e.zone(row); ok {
			listed[zone] = row.Revision
		}
	}
	for zone, known := range e.zones {
		if _, ok := listed[zone]; !ok && e.era.rewriting() && known.Era() < revision.Era() {
			listed[zone] = known
		}
	}
	e.zones = listed
	e.apply(revision)
}

// endRewriting takes back the zones whose evacuation wasn't written again.
func (e *evacuations) endRewriting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for zone, known := range e.zones {
		if known.Era() < e.era.newest.Era() {
			delete(e.zones, zone)
		}
	}
	e.apply(e.era.newest)
}

// change takes a changed row. It reports whether that is an evacuation's.
func (e *evacuations) change(row feed.Row) bool {
	zone, ok := e.zone(row)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if row.Deleted {
		delete(e.zones, zone)
	} else {
		e.zones[zone] = row.Revision
	}
	e.apply(row.Revision)
	return true
}

// apply has the fleet heed the zones. The lock is held.
func (e *evacuations) apply(revision storage.Revision) {
	zones := make(map[string]bool, len(e.zones))
	for zone := range e.zones {
		zones[zone] = true
	}
	e.fleet.SetEvacuated(zones, revision)
}

// SetEvacuated takes the zones that get nothing from now on. The upstreams of one that is
// taken back may have become cold meanwhile, and their entries tell so only with their
// next heartbeats.
func (f *Fleet) SetEvacuated(zones map[string]bool, revision storage.Revision) {
	known := f.access.evacuated.Swap(&zones)
	for zone := range zones {
		if known == nil || !(*known)[zone] {
			f.log.Warn().Str("event", "zone-evacuated").Str("zone", zone).Int("upstreams", f.inZone(zone)).Stringer("revision", revision).Msg("")
		}
	}
	if known == nil {
		return
	}
	for zone := range *known {
		if !zones[zone] {
			f.takeBack(zone, revision)
		}
	}
}

func (f *Fleet) takeBack(zone string, revision storage.Revision) {
	f.log.Warn().Str("event", "zone-taken-back").Str("zone", zone).Int("upstreams", f.inZone(zone)).Stringer("revision", revision).Msg("")
	f.each(func(s *shard) {
		for _, m := range s.members {
			if m.Zone == zone {
				m.noteCold(s.coldStart, coldEvacuation, f.log)
			}
		}
	})
}

// inZone counts the zone's upstreams.
func (f *Fleet) inZone(zone string) int {
	n := 0
	f.each(func(s *shard) {
		for _, m := range s.members {
			if m.Zone == zone {
				n++
			}
		}
	})
	return n
}
