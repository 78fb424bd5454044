package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/membership"
)

const (
	// factProcess stands before a host's id in the fact that names the process
	// which runs under it.
	factProcess = "process/"
	// processTTL is how long such a fact is known. It covers the time in which
	// repeats of a request ask for the process that ran it.
	processTTL = 24 * time.Hour
)

// processes knows which process runs under each host's id. A host that is
// replaced keeps its id, and what its earlier process had in flight is lost.
type processes struct {
	mu      sync.Mutex
	current map[string]string // host id to incarnation
}

// adopt takes in what a host says of itself. It reports whether that is news:
// an earlier process, also one not heard of, is then gone.
func (p *processes) adopt(id string, f membership.Fact) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = make(map[string]string)
	}
	if f.Expired() {
		delete(p.current, id)
		return false
	}
	before := p.current[id]
	p.current[id] = string(f.Value)
	return before != string(f.Value)
}

// replaced says that another process is known to run under the host's id.
func (p *processes) replaced(id, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.current[id]
	return ok && current != incarnation
}

// announceProcess tells the other hosts which process this is, again and again
// before the fact expires.
func (h *Host) announceProcess(ctx context.Context) error {
	return every(ctx, processTTL/2, func() {
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

// adoptProcess takes in which process a host runs. It may have replaced one so
// soon that the host was never seen down; what that one held and owed is
// settled all the same.
func (h *Host) adoptProcess(f membership.Fact) {
	id := strings.TrimPrefix(f.Key, factProcess)
	if !h.processes.adopt(id, f) || id == h.settings.ID {
		return
	}
	h.log.Info().Str("event", "process").Str("member", id).Str("incarnation", string(f.Value)).Msg("")
	h.settleLater(id)
}

// liveness tells claims whether the process that owns one may still be running.
type liveness struct {
	members   *membership.Membership
	processes *processes
}

// Alive implements claim.Liveness. Claims name their owner by its incarnation,
// the host's id and that of its process.
func (l *liveness) Alive(incarnation string) bool {
	id := incarnation[:max(0, strings.LastIndexByte(incarnation, '/'))]
	m, ok := l.members.Lookup(id)
	return ok && m.State != membership.Down && !l.processes.replaced(id, incarnation)
}
