package entry

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/membership"
)

// Methods between entry hosts.
const (
	methodView = "config.view"
	methodBody = "config.body"
	methodHold = "ledger.hold"
	methodDrop = "ledger.drop"
)

// none stands for empty parameters or results.
type none struct{}

type bodyParams struct {
	Digest string `json:"digest"`
}

type bodyResult struct {
	Body []byte `json:"body"`
}

type holdParams struct {
	Owner string `json:"owner"`
	Seq   uint64 `json:"seq"`
	// Bills are packed by ledger.EncodeBills.
	Bills []byte `json:"bills"`
}

type dropParams struct {
	Owner string `json:"owner"`
	UpTo  uint64 `json:"up_to"`
}

// provisionPeers makes the two sides of the traffic between entry hosts.
func (h *Host) provisionPeers() error {
	var err error
	h.peerSrv, err = peer.NewServer(peer.ServerOptions{
		Listen: h.settings.Peers,
		Self:   h.settings.ID,
		Keys:   h.settings.PeerKeys,
	})
	if err != nil {
		return SettingError("peers", "%v", err)
	}
	h.peers, err = peer.NewClient(peer.ClientOptions{
		Self:    h.settings.ID,
		Keys:    h.settings.PeerKeys,
		LocalIP: peerIP(h.settings.Peers),
	})
	return err
}

// peerIP is the address that peers are called from: the one listened on, if it
// is a single one.
func peerIP(listen string) net.IP {
	host, _, _ := net.SplitHostPort(listen)
	ip := net.ParseIP(host)
	if ip.IsUnspecified() {
		return nil
	}
	return ip
}

// handlePeers answers the other hosts.
func (h *Host) handlePeers() {
	peer.Handle(h.peerSrv, methodView, func(context.Context, string, none) (config.PeerView, error) {
		return h.watcher.View(h.settings.ID), nil
	})
	peer.Handle(h.peerSrv, methodBody, func(_ context.Context, _ string, p bodyParams) (bodyResult, error) {
		body, ok := h.watcher.Body(p.Digest)
		if !ok {
			return bodyResult{}, errors.New("this host doesn't have the body")
		}
		return bodyResult{Body: body}, nil
	})
	peer.Handle(h.peerSrv, methodHold, func(_ context.Context, _ string, p holdParams) (none, error) {
		bills, err := ledger.DecodeBills(p.Bills)
		if err != nil {
			return none{}, err
		}
		return none{}, h.custody.Hold(p.Owner, p.Seq, bills)
	})
	peer.Handle(h.peerSrv, methodDrop, func(_ context.Context, _ string, p dropParams) (none, error) {
		h.custody.Drop(p.Owner, p.UpTo)
		return none{}, nil
	})
}

// others are the members that may answer, this host excepted.
func (h *Host) others() []membership.Member {
	all := h.members.Members()
	list := make([]membership.Member, 0, len(all))
	for _, m := range all {
		if m.ID != h.settings.ID && m.State != membership.Down {
			list = append(list, m)
		}
	}
	return list
}

// peerViews asks the other hosts what manifest they have in force.
type peerViews struct {
	host *Host
}

// Known implements config.Peers. Hosts that are down count unless they left by
// a planned stop, so that a host which is cut off doesn't take itself for the
// majority.
func (p *peerViews) Known() int {
	return max(1, p.host.departed.remaining(p.host.members.Members()))
}

// Ask implements config.Peers.
func (p *peerViews) Ask(ctx context.Context) []config.PeerView {
	var mu sync.Mutex
	var views []config.PeerView
	var wait sync.WaitGroup
	for _, m := range p.host.others() {
		wait.Go(func() {
			var view config.PeerView
			asked := boottime.Now()
			if p.host.peers.Call(ctx, m.PeerAddr, methodView, none{}, &view) != nil {
				return
			}
			// The view can have been taken at any time since it was asked for.
			if view.HasWord {
				view.WordAge += boottime.Since(asked)
			}
			mu.Lock()
			defer mu.Unlock()
			views = append(views, view)
		})
	}
	wait.Wait()
	return views
}

// peerBodies fetches manifests from other hosts.
type peerBodies struct {
	host *Host
}

// errNoBody means that no other host had the manifest.
var errNoBody = errors.New("no other host has the manifest")

// FetchBody implements config.Bodies.
func (p *peerBodies) FetchBody(ctx context.Context, digest string) ([]byte, error) {
	for _, m := range p.host.others() {
		var result bodyResult
		if p.host.peers.Call(ctx, m.PeerAddr, methodBody, bodyParams{Digest: digest}, &result) == nil {
			return result.Body, nil
		}
	}
	return nil, errNoBody
}

// peerHolders keeps copies of bills on hosts in other availability zones.
type peerHolders struct {
	host *Host
	// failed counts the calls that failed: each one moves on to another host.
	failed atomic.Uint64
}

// errNoHolder means that no host can hold bills.
var errNoHolder = errors.New("no other host is up")

// Hold implements ledger.Holder.
func (p *peerHolders) Hold(ctx context.Context, owner string, seq uint64, bills []ledger.Bill) (string, error) {
	data, err := ledger.EncodeBills(bills)
	if err != nil {
		return "", err
	}
	params := holdParams{Owner: owner, Seq: seq, Bills: data}
	for _, m := range p.candidates() {
		err = p.host.peers.Call(ctx, m.PeerAddr, methodHold, params, nil)
		if err == nil {
			return m.ID, nil
		}
		p.failed.Add(1)
		if !errors.Is(err, peer.ErrUnreachable) {
			return m.ID, err // It may have the bills.
		}
	}
	return "", errors.Join(errNoHolder, err)
}

// candidates are the hosts to ask in turn: those that are up in other zones,
// and only without any of these those of the same zone.
func (p *peerHolders) candidates() []membership.Member {
	var far, near []membership.Member
	for _, m := range byRank(p.host.others(), p.host.settings.ID) {
		switch {
		case m.State != membership.Up:
		case m.Zone != p.host.settings.Zone:
			far = append(far, m)
		default:
			near = append(near, m)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 {
		return nil
	}
	first := int(p.failed.Load() % uint64(len(far)))
	return append(far[first:len(far):len(far)], far[:first]...)
}

// byRank orders hosts by rendezvous hashing of each with self, so that hosts
// spread their bills evenly over each other, whatever their ids look like, and
// few change their holder when a host comes or goes.
func byRank(list []membership.Member, self string) []membership.Member {
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Compare(rank(self, b.ID), rank(self, a.ID))
	})
	return ranked
}

func rank(self, other string) uint64 {
	return xxhash.Sum64String(self + "\x00" + other)
}

// Drop implements ledger.Holder.
func (p *peerHolders) Drop(ctx context.Context, holder, owner string, upTo uint64) error {
	m, ok := p.host.members.Lookup(holder)
	if !ok {
		return nil
	}
	return p.host.peers.Call(ctx, m.PeerAddr, methodDrop, dropParams{Owner: owner, UpTo: upTo}, nil)
}
