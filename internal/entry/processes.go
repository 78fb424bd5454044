package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/membership"
)

const (
	// factProcess is the key prefix, before a host's ID, of the membership fact that
	// names the process running under that ID.
	factProcess = "process/"
	// processTTL is the lifetime of the fact that names a process. It covers the period
	// in which a host may receive a repeat of a request and has to determine whether the
	// process that ran the request still exists.
	processTTL = 24 * time.Hour
)

// processes records which process runs under each host's ID. A host that is replaced
// keeps its ID, and the requests that its earlier process had in flight are lost.
type processes struct {
	mu           sync.Mutex
	incarnations map[string]string // host id to incarnation
}

// update records the process that a host announced. It reports whether this process
// differs from the last recorded process of the host, or whether none was recorded. In
// both cases an earlier process of the host, if there was one, has ended, even if this
// host never received its announcement.
func (p *processes) update(id string, f membership.Fact) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnations == nil {
		p.incarnations = make(map[string]string)
	}
	if f.Expired() {
		delete(p.incarnations, id)
		return false
	}
	previous := p.incarnations[id]
	p.incarnations[id] = string(f.Value)
	return previous != string(f.Value)
}

// replaced reports whether a process other than incarnation was announced for the
// host's ID.
func (p *processes) replaced(id, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.incarnations[id]
	return ok && current != incarnation
}

// announceProcess sends the fact that names this process to the other hosts and
// renews the fact before it expires.
func (h *Host) announceProcess(ctx context.Context) error {
	return runPeriodically(ctx, processTTL/2, func() {
		err := h.members.Put(membership.Fact{
			Key:     factProcess + h.settings.ID,
			Version: uint64(time.Now().UnixMilli()),
			Value:   []byte(h.incarnation),
			TTL:     processTTL,
		})
		if err != nil {
			h.log.Warn().Str("event", "process").Err(err).Msg("")
		}
	})
}

// applyProcess records which process a host runs. If the recorded process changes,
// applyProcess queues the host, so that the bills of an earlier process are taken over.
// Membership events don't suffice, since a host that restarts quickly is never detected
// as down.
func (h *Host) applyProcess(f membership.Fact) {
	id := strings.TrimPrefix(f.Key, factProcess)
	if !h.processes.update(id, f) || id == h.settings.ID {
		return
	}
	h.log.Info().Str("event", "process").Str("member", id).Str("incarnation", string(f.Value)).Msg("")
	h.enqueueTakeOver(id)
}

// liveness reports whether the process that owns a claim may still be running.
type liveness struct {
	members   *membership.Membership
	processes *processes
}

// MayBeRunning implements claim.Liveness. The owner of a claim is an incarnation: the
// host's ID and the ID of its process.
func (l *liveness) MayBeRunning(incarnation string) bool {
	id := incarnation[:max(0, strings.LastIndexByte(incarnation, '/'))]
	m, ok := l.members.Lookup(id)
	return ok && m.State != membership.Down && !l.processes.replaced(id, incarnation)
}
