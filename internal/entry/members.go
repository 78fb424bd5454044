package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/membership"
)

const (
	// factHead is the key of the membership fact that holds the head of the manifest
	// in force.
	factHead = "head"
	// copySweepInterval is the interval between sweeps, each of which takes over the
	// bills of hosts that no longer exist if this host has copies of them.
	copySweepInterval = 10 * time.Second
	// leaveTimeout is the timeout of announcing a planned stop to the other hosts.
	leaveTimeout = 5 * time.Second
	// takeOverQueueSize is the capacity of the queue of hosts that went down and whose
	// bills are to be taken over.
	takeOverQueueSize = 1024
)

// provisionMembers creates the membership.
func (h *Host) provisionMembers() error {
	var err error
	h.members, err = membership.New(membership.Options{
		Self: membership.Member{
			ID:           h.settings.ID,
			Zone:         h.settings.Zone,
			PeerAddr:     cmp.Or(h.settings.AdvertisePeers, h.PeerAddr()),
			CallerAddr:   h.CallerAddr(),
			OperatorAddr: h.OperatorAddr(),
		},
		Table:     h.platform.Table,
		Seeds:     h.settings.Seeds,
		Transport: peer.NewMembershipTransport(h.peers),
	})
	if err != nil {
		return err
	}
	peer.HandleMembership(h.peerServer, h.members)
	return nil
}

// watchMembers subscribes to membership events and to the facts of other hosts. It
// must be called after all components have been created, since the events are passed
// to them.
func (h *Host) watchMembers() {
	h.downHosts = make(chan string, takeOverQueueSize)
	h.members.Subscribe(h.handleMemberEvent)
	h.members.Watch(factHead, func(f membership.Fact) {
		var head config.Head
		if json.Unmarshal(f.Value, &head) == nil {
			h.manifestWatcher.ObserveHead(head)
		}
	})
	h.members.Watch(factLeaving, h.applyLeavingFact)
	h.members.Watch(factProcess, h.applyProcess)
}

// announceHead sends the head of an accepted manifest to the other hosts as a fact.
func (h *Host) announceHead(head config.Head) {
	h.manifestWatcher.ObserveHead(head)
	value, err := json.Marshal(head)
	if err != nil {
		return
	}
	// Put fails if this host has received a head with a higher epoch. The error is
	// ignored, since head is outdated in that case.
	_ = h.members.Put(membership.Fact{Key: factHead, Version: head.Epoch, Value: value})
}

func (h *Host) handleMemberEvent(e membership.Event) {
	h.log.Info().Str("event", "member").Str("member", e.Member.ID).Str("zone", e.Member.Zone).
		Str("state", e.Member.State.String()).Str("before", e.Previous.String()).Msg("")
	if e.Member.State != membership.Down {
		return
	}
	if e.Previous == membership.Leaving {
		h.plannedDepartures.add(e.Member.ID)
	}
	h.enqueueTakeOver(e.Member.ID)
}

// enqueueTakeOver queues a host whose process ended, so that its bills are taken over.
func (h *Host) enqueueTakeOver(id string) {
	select {
	case h.downHosts <- id:
	default: // The queue is full; the next sweep takes over the host's bills.
	}
}

// takeOverBills takes over the bills of each host that went down, if this host has
// copies of them, until ctx ends. It also makes the ledger replace the copies of this
// host's bills that were stored on a host that went down.
func (h *Host) takeOverBills(ctx context.Context) error {
	sweep := time.NewTicker(copySweepInterval)
	defer sweep.Stop()
	var takeOvers sync.WaitGroup
	defer takeOvers.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-h.downHosts:
			h.ledger.PeerDown(id)
			takeOvers.Go(func() { h.logTakeOverError(h.billCopies.TakeOver(ctx, id)) })
		case <-sweep.C:
			takeOvers.Go(func() { h.logTakeOverError(h.billCopies.Sweep(ctx)) })
		}
	}
}

func (h *Host) logTakeOverError(err error) {
	if err != nil {
		h.log.Warn().Str("event", "custody").Err(err).Msg("")
	}
}

// announceLeaving announces a planned stop to the other hosts.
func (h *Host) announceLeaving() error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return h.members.Leave(ctx)
}

// departures holds the IDs of hosts that left by a planned stop. These hosts aren't
// counted when the host computes how many hosts are a majority.
type departures struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (d *departures) add(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ids == nil {
		d.ids = make(map[string]bool)
	}
	d.ids[id] = true
}

// pruneAndCount returns the number of members that haven't left by a planned stop.
// It removes from d the hosts that are no longer members or that have returned.
func (d *departures) pruneAndCount(members []membership.Member) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	departed := make(map[string]bool, len(d.ids))
	n := 0
	for _, m := range members {
		if d.ids[m.ID] && m.State == membership.Down {
			departed[m.ID] = true
			continue
		}
		n++
	}
	d.ids = departed
	return n
}
