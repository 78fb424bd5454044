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
	// factHead is the fact that names the manifest in force.
	factHead = "head"
	// custodySweep is the time between looks for bills whose owner is gone.
	custodySweep = 10 * time.Second
	// leaveTimeout bounds the announcement of a planned stop.
	leaveTimeout = 5 * time.Second
	// settleQueue is how many hosts that went down wait to be settled.
	settleQueue = 1024
)

// provisionMembers makes the membership.
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
	peer.HandleMembership(h.peerSrv, h.members)
	return nil
}

// watchMembers connects the parts that act on what other hosts say. It is
// called once all parts are there.
func (h *Host) watchMembers() {
	h.down = make(chan string, settleQueue)
	h.members.Subscribe(h.onMember)
	h.members.Watch(factHead, func(f membership.Fact) {
		var head config.Head
		if json.Unmarshal(f.Value, &head) == nil {
			h.watcher.Offer(head)
		}
	})
	h.members.Watch(factLeaving, h.adoptLeaving)
	h.members.Watch(factProcess, h.adoptProcess)
}

// announce tells the other hosts of an accepted manifest.
func (h *Host) announce(head config.Head) {
	h.watcher.Offer(head)
	value, err := json.Marshal(head)
	if err != nil {
		return
	}
	// A higher epoch that is known already makes this one old news.
	_ = h.members.Put(membership.Fact{Key: factHead, Version: head.Epoch, Value: value})
}

func (h *Host) onMember(e membership.Event) {
	h.log.Info().Str("event", "member").Str("member", e.Member.ID).Str("zone", e.Member.Zone).
		Str("state", e.Member.State.String()).Str("before", e.Previous.String()).Msg("")
	if e.Member.State != membership.Down {
		return
	}
	if e.Previous == membership.Leaving {
		h.departed.add(e.Member.ID)
	}
	h.settleLater(e.Member.ID)
}

// settleLater has the bills of a process that is gone settled.
func (h *Host) settleLater(id string) {
	select {
	case h.down <- id:
	default: // The sweep finds its bills later.
	}
}

// settleDown takes over the bills held for hosts that went down, and finds new
// holders for those that they held.
func (h *Host) settleDown(ctx context.Context) error {
	sweep := time.NewTicker(custodySweep)
	defer sweep.Stop()
	var settling sync.WaitGroup
	defer settling.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-h.down:
			h.ledger.HolderDown(id)
			settling.Go(func() { h.custodyStep(h.custody.Settle(ctx, id)) })
		case <-sweep.C:
			settling.Go(func() { h.custodyStep(h.custody.Sweep(ctx)) })
		}
	}
}

func (h *Host) custodyStep(err error) {
	if err != nil {
		h.log.Warn().Str("event", "custody").Err(err).Msg("")
	}
}

// announceLeaving tells the other hosts of a planned stop.
func (h *Host) announceLeaving() error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return h.members.Leave(ctx)
}

// departures are the hosts that left by a planned stop. They don't count among
// the hosts that a majority is taken of.
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

// remaining counts the members that haven't departed. It forgets the
// departures of hosts that aren't members any more, or are back.
func (d *departures) remaining(members []membership.Member) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	gone := make(map[string]bool, len(d.ids))
	n := 0
	for _, m := range members {
		if d.ids[m.ID] && m.State == membership.Down {
			gone[m.ID] = true
			continue
		}
		n++
	}
	d.ids = gone
	return n
}
