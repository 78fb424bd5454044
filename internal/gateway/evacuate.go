package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// evacuations tracks the operators' rows that evacuate availability zones. A zone is evacuated
// while its row exists; the row's content is ignored and need not be readable.
type evacuations struct {
	prefix string
	fleet  *Fleet

	mu sync.Mutex
	// zones are the evacuated zones with the revisions of their rows.
	zones map[string]storage.Revision
	era   eraTracker
}

func newEvacuations(prefix string, fleet *Fleet) *evacuations {
	return &evacuations{prefix: prefix, fleet: fleet, zones: make(map[string]storage.Revision)}
}

// zone returns the availability zone that the row evacuates; ok is false if it is another kind of
// row.
func (e *evacuations) zone(row feed.Row) (zone string, ok bool) {
	zone, ok = strings.CutPrefix(row.Key, e.prefix)
	return zone, ok && zone != ""
}

// replace applies the operators' whole table. If the store was restored from a backup that lacks
// the row of an evacuation, the zone stays evacuated for restoreGrace, so that operators have time
// to write the row again.
func (e *evacuations) replace(rows []feed.Row, revision storage.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era.observe(revision) {
		time.AfterFunc(restoreGrace, e.endRestoreGrace)
	}
	listed := make(map[string]storage.Revision)
	for _, row := range rows {
		if zone, ok := e.zone(row); ok {
			listed[zone] = row.Revision
		}
	}
	for zone, rowRevision := range e.zones {
		if _, ok := listed[zone]; !ok && e.era.inRestoreGrace() && rowRevision.Era() < revision.Era() {
			listed[zone] = rowRevision
		}
	}
	e.zones = listed
	e.applyToFleet(revision)
}

// endRestoreGrace ends the evacuations whose rows weren't written again after the restore.
func (e *evacuations) endRestoreGrace() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for zone, rowRevision := range e.zones {
		if rowRevision.Era() < e.era.newest.Era() {
			delete(e.zones, zone)
		}
	}
	e.applyToFleet(e.era.newest)
}

// change applies a changed row. It reports whether it is the row of an evacuation.
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
	e.applyToFleet(row.Revision)
	return true
}

// applyToFleet passes the evacuated zones to the fleet. The caller holds the lock.
func (e *evacuations) applyToFleet(revision storage.Revision) {
	zones := make(map[string]bool, len(e.zones))
	for zone := range e.zones {
		zones[zone] = true
	}
	e.fleet.SetEvacuated(zones, revision)
}

// SetEvacuated sets the zones whose upstreams get no requests from now on. When an evacuation ends,
// the zone's upstreams count as cold: they may have become cold in the meantime, which their
// entries show only after the next heartbeats.
func (f *Fleet) SetEvacuated(zones map[string]bool, revision storage.Revision) {
	previous := f.policy.evacuatedZones.Swap(&zones)
	for zone := range zones {
		if previous == nil || !(*previous)[zone] {
			f.log.Warn().Str("event", "zone-evacuated").Str("zone", zone).Int("upstreams", f.countInZone(zone)).Stringer("revision", revision).Msg("")
		}
	}
	if previous == nil {
		return
	}
	for zone := range *previous {
		if !zones[zone] {
			f.endEvacuation(zone, revision)
		}
	}
}

func (f *Fleet) endEvacuation(zone string, revision storage.Revision) {
	f.log.Warn().Str("event", "zone-taken-back").Str("zone", zone).Int("upstreams", f.countInZone(zone)).Stringer("revision", revision).Msg("")
	f.eachShard(func(s *shard) {
		for _, m := range s.members {
			if m.Zone == zone {
				m.markCold(s.coldStart, coldReasonEvacuationEnded, f.log)
			}
		}
	})
}

// countInZone returns the number of the zone's upstreams.
func (f *Fleet) countInZone(zone string) int {
	n := 0
	f.eachShard(func(s *shard) {
		for _, m := range s.members {
			if m.Zone == zone {
				n++
			}
		}
	})
	return n
}
