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

// MaxHostChanges is how many of the latest changes Changes can tell apart.
const MaxHostChanges = 4096

// Hosts is a host list that lags: it shows the hosts as they were some time
// ago. It never goes back to a state older than one it has shown.
type Hosts struct {
	mu sync.Mutex
	// lag is the age of what Hosts shows; zero shows every change at once.
	lag time.Duration
	// shown holds the hosts as of the newest change that is older than lag.
	shown map[string]storage.Host
	// revision counts the changes that made up shown.
	revision uint64
	// recent holds the IDs that the latest changes concern, oldest first; at
	// most MaxHostChanges.
	recent []string
	// pending holds the changes not yet shown, oldest first.
	pending []hostChange
}

// hostChange is one change of the list.
type hostChange struct {
	at      time.Time
	host    storage.Host
	removed bool
}

// HostChanges is what makes the list of an earlier revision that of Revision.
type HostChanges struct {
	Revision uint64
	// Full says that Hosts holds the whole list, whatever was there before.
	Full bool
	// Hosts holds the hosts that were added or changed, in ascending order of
	// their IDs.
	Hosts []storage.Host
	// Removed holds the IDs of hosts that are no longer in the list.
	Removed []string
}

// NewHosts returns an empty list that lags by lag.
func NewHosts(lag time.Duration) *Hosts {
	return &Hosts{lag: lag, shown: make(map[string]storage.Host)}
}

// Set adds the host or replaces the entry with its ID.
func (h *Hosts) Set(host storage.Host) {
	h.change(hostChange{host: host})
}

// Remove removes the host with the ID, if it is there.
func (h *Hosts) Remove(id string) {
	h.change(hostChange{host: storage.Host{ID: id}, removed: true})
}

// SetLag changes the lag. A longer one holds the list still until it is due.
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

// Changes returns the changes since a revision. The whole list comes for
// revision zero, for one that isn't this list's, and for one that is more than
// MaxHostChanges changes old.
func (h *Hosts) Changes(ctx context.Context, since uint64) (HostChanges, error) {
	if err := checkContext(ctx); err != nil {
		return HostChanges{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	changes := HostChanges{Revision: h.revision}
	oldest := h.revision - uint64(len(h.recent))
	if since == 0 || since > h.revision || since < oldest {
		changes.Full = true
		changes.Hosts = h.list()
		return changes, nil
	}
	h.collect(&changes, h.recent[since-oldest:])
	return changes, nil
}

// collect adds the present state of each of the hosts to changes.
func (h *Hosts) collect(changes *HostChanges, ids []string) {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	for _, id := range ids {
		host, ok := h.shown[id]
		if ok {
			changes.Hosts = append(changes.Hosts, host)
		} else {
			changes.Removed = append(changes.Removed, id)
		}
	}
}

func (h *Hosts) list() []storage.Host {
	hosts := make([]storage.Host, 0, len(h.shown))
	for _, id := range slices.Sorted(maps.Keys(h.shown)) {
		hosts = append(hosts, h.shown[id])
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

// advance moves the changes that are at least lag old into shown.
func (h *Hosts) advance() {
	newest := time.Now().Add(-h.lag)
	due := 0
	for due < len(h.pending) && !h.pending[due].at.After(newest) {
		h.apply(h.pending[due])
		due++
	}
	h.pending = slices.Delete(h.pending, 0, due)
}

func (h *Hosts) apply(c hostChange) {
	h.revision++
	h.recent = append(h.recent, c.host.ID)
	if excess := len(h.recent) - MaxHostChanges; excess > 0 {
		h.recent = slices.Delete(h.recent, 0, excess)
	}
	if c.removed {
		delete(h.shown, c.host.ID)
		return
	}
	h.shown[c.host.ID] = c.host
}
