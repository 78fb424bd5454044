package memory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.HostList = (*Hosts)(nil)

// MaxHostChanges is the number of latest changes that are kept for Changes.
const MaxHostChanges = 4096

// Hosts is a host list that lags: it returns the hosts as they were some time
// ago. It never returns an older state than before.
type Hosts struct {
	mu sync.Mutex
	// lag is the delay until a change becomes visible; zero for none.
	lag time.Duration
	// visible holds the hosts after the changes that are at least lag old.
	visible map[string]storage.Host
	// revision counts the changes applied to visible.
	revision uint64
	// recentIDs holds the host IDs of the latest changes applied, oldest first;
	// at most MaxHostChanges.
	recentIDs []string
	// pending holds the changes not yet visible, oldest first.
	pending []hostChange
}

// hostChange is one change of the list.
type hostChange struct {
	at      time.Time
	host    storage.Host
	removed bool
}

// HostChanges holds the difference between the list of an earlier revision and
// that of Revision.
type HostChanges struct {
	Revision uint64
	// Full reports whether Hosts holds the whole list instead of the changes.
	Full bool
	// Hosts holds the hosts that were added or changed, in ascending order of
	// their IDs.
	Hosts []storage.Host
	// Removed holds the IDs of hosts that are no longer in the list.
	Removed []string
}

// NewHosts returns an empty list that lags by lag.
func NewHosts(lag time.Duration) *Hosts {
	return &Hosts{lag: lag, visible: make(map[string]storage.Host)}
}

// Set adds the host or replaces the entry with its ID.
func (h *Hosts) Set(host storage.Host) {
	h.change(hostChange{host: host})
}

// Remove removes the host with the ID, if it is there.
func (h *Hosts) Remove(id string) {
	h.change(hostChange{host: storage.Host{ID: id}, removed: true})
}

// SetLag changes the lag. After an increase the list doesn't change until the
// next pending change is older than the new lag.
func (h *Hosts) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	h.lag = lag
}

// Hosts implements storage.HostList, in ascending order of the IDs.
func (h *Hosts) Hosts(ctx context.Context) ([]storage.Host, error) {
	if err := checkContext(ctx); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	return h.list(), nil
}

// Changes returns the changes since a revision. It returns the whole list for
// revision zero, for a revision that the list hasn't reached, and for one that
// is more than MaxHostChanges changes old.
func (h *Hosts) Changes(ctx context.Context, since uint64) (HostChanges, error) {
	if err := checkContext(ctx); err != nil {
		return HostChanges{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	changes := HostChanges{Revision: h.revision}
	oldest := h.revision - uint64(len(h.recentIDs))
	if since == 0 || since > h.revision || since < oldest {
		changes.Full = true
		changes.Hosts = h.list()
		return changes, nil
	}
	h.addCurrentState(&changes, h.recentIDs[since-oldest:])
	return changes, nil
}

// addCurrentState adds the current state of the hosts with the IDs to changes.
func (h *Hosts) addCurrentState(changes *HostChanges, ids []string) {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	for _, id := range ids {
		host, ok := h.visible[id]
		if ok {
			changes.Hosts = append(changes.Hosts, host)
		} else {
			changes.Removed = append(changes.Removed, id)
		}
	}
}

func (h *Hosts) list() []storage.Host {
	hosts := make([]storage.Host, 0, len(h.visible))
	for _, id := range slices.Sorted(maps.Keys(h.visible)) {
		hosts = append(hosts, h.visible[id])
	}
	return hosts
}

func (h *Hosts) change(c hostChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.at = time.Now()
	h.pending = append(h.pending, c)
	h.advance()
}

// advance applies the pending changes that are at least lag old to visible.
func (h *Hosts) advance() {
	cutoff := time.Now().Add(-h.lag)
	due := 0
	for due < len(h.pending) && !h.pending[due].at.After(cutoff) {
		h.apply(h.pending[due])
		due++
	}
	h.pending = slices.Delete(h.pending, 0, due)
}

func (h *Hosts) apply(c hostChange) {
	h.revision++
	h.recentIDs = append(h.recentIDs, c.host.ID)
	if excess := len(h.recentIDs) - MaxHostChanges; excess > 0 {
		h.recentIDs = slices.Delete(h.recentIDs, 0, excess)
	}
	if c.removed {
		delete(h.visible, c.host.ID)
		return
	}
	h.visible[c.host.ID] = c.host
}
