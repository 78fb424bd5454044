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
	methodView      = "config.view"
	methodBody      = "config.body"
	methodReplicate = "ledger.hold"
	methodRelease   = "ledger.drop"
)

// empty is the type of empty parameters and results.
type empty struct{}

type bodyParams struct {
	Digest string `json:"digest"`
}

type bodyResult struct {
	Body []byte `json:"body"`
}

type replicateParams struct {
	Owner string `json:"owner"`
	Seq   uint64 `json:"seq"`
	// Bills is encoded by ledger.EncodeBills.
	Bills []byte `json:"bills"`
}

type releaseParams struct {
	Owner string `json:"owner"`
	UpTo  uint64 `json:"up_to"`
}

// provisionPeers creates the server and client for calls between entry hosts.
func (h *Host) provisionPeers() error {
	var err error
	h.peerServer, err = peer.NewServer(peer.ServerOptions{
		Listen:   h.settings.Peers,
		Self:     h.settings.ID,
		Keys:     h.settings.PeerKeys,
		MaxConns: min(h.sockets.Peers, peer.DefaultMaxConns),
	})
	if err != nil {
		return SettingError("peers", "%v", err)
	}
	h.peers, err = peer.NewClient(peer.ClientOptions{
		Self:    h.settings.ID,
		Keys:    h.settings.PeerKeys,
		LocalIP: localPeerIP(h.settings.Peers),
	})
	return err
}

// localPeerIP returns the local IP for calls to peers. It is the listener's IP, or nil if
// that is unspecified.
func localPeerIP(listen string) net.IP {
	host, _, _ := net.SplitHostPort(listen)
	ip := net.ParseIP(host)
	if ip.IsUnspecified() {
		return nil
	}
	return ip
}

// registerPeerMethods registers the methods that other hosts call.
func (h *Host) registerPeerMethods() {
	peer.Handle(h.peerServer, methodView, func(context.Context, string, empty) (config.PeerView, error) {
		return h.manifestWatcher.View(h.settings.ID), nil
	})
	peer.Handle(h.peerServer, methodBody, func(_ context.Context, _ string, p bodyParams) (bodyResult, error) {
		body, ok := h.manifestWatcher.Body(p.Digest)
		if !ok {
			return bodyResult{}, errors.New("this host doesn't have the body")
		}
		return bodyResult{Body: body}, nil
	})
	peer.Handle(h.peerServer, methodReplicate, func(_ context.Context, _ string, p replicateParams) (empty, error) {
		bills, err := ledger.DecodeBills(p.Bills)
		if err != nil {
			return empty{}, err
		}
		return empty{}, h.billCopies.Store(p.Owner, p.Seq, bills)
	})
	peer.Handle(h.peerServer, methodRelease, func(_ context.Context, _ string, p releaseParams) (empty, error) {
		h.billCopies.Release(p.Owner, p.UpTo)
		return empty{}, nil
	})
}

// otherHosts returns all members that aren't down, except this host.
func (h *Host) otherHosts() []membership.Member {
	all := h.members.Members()
	list := make([]membership.Member, 0, len(all))
	for _, m := range all {
		if m.ID != h.settings.ID && m.State != membership.Down {
			list = append(list, m)
		}
	}
	return list
}

// peerViews asks the other hosts which manifest they have in force.
type peerViews struct {
	host *Host
}

// HostCount implements config.Peers. It also counts hosts that are down, except those
// that left by a planned stop. If it didn't count them, an isolated host, to which all
// others appear down, would count one host and be a majority by itself.
func (p *peerViews) HostCount() int {
	return max(1, p.host.plannedDepartures.pruneAndCount(p.host.members.Members()))
}

// QueryViews implements config.Peers.
func (p *peerViews) QueryViews(ctx context.Context) []config.PeerView {
	var mu sync.Mutex
	var views []config.PeerView
	var calls sync.WaitGroup
	for _, m := range p.host.otherHosts() {
		calls.Go(func() {
			var view config.PeerView
			calledAt := boottime.Now()
			if p.host.peers.Call(ctx, m.PeerAddr, methodView, empty{}, &view) != nil {
				return
			}
			// The peer may have created the view at any time since the call began. The
			// duration of the call is therefore added to the age of its table read.
			if view.HasTableRead {
				view.TableReadAge += boottime.Since(calledAt)
			}
			mu.Lock()
			defer mu.Unlock()
			views = append(views, view)
		})
	}
	calls.Wait()
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
	for _, m := range p.host.otherHosts() {
		var result bodyResult
		if p.host.peers.Call(ctx, m.PeerAddr, methodBody, bodyParams{Digest: digest}, &result) == nil {
			return result.Body, nil
		}
	}
	return nil, errNoBody
}

// billReplicator stores copies of bills on hosts in other availability zones.
type billReplicator struct {
	host *Host
	// failures is the number of failed calls of Replicate. After each failure another
	// host is the first candidate.
	failures atomic.Uint64
}

// errNoOtherHost means that no other host is available to hold bills or to lend slots.
var errNoOtherHost = errors.New("no other host is up")

// Replicate implements ledger.Replicator.
func (p *billReplicator) Replicate(ctx context.Context, owner string, seq uint64, bills []ledger.Bill) (string, error) {
	data, err := ledger.EncodeBills(bills)
	if err != nil {
		return "", err
	}
	params := replicateParams{Owner: owner, Seq: seq, Bills: data}
	for _, m := range p.candidates() {
		err = p.host.peers.Call(ctx, m.PeerAddr, methodReplicate, params, nil)
		if err == nil {
			return m.ID, nil
		}
		p.failures.Add(1)
		if !errors.Is(err, peer.ErrUnreachable) {
			return m.ID, err // The host may have stored the bills.
		}
	}
	return "", errors.Join(errNoOtherHost, err)
}

// candidates returns the hosts that may hold copies of this host's bills, the preferred
// host first: the hosts that are up in other availability zones or, if there are none,
// those that are up in the same zone.
func (p *billReplicator) candidates() []membership.Member {
	var preferred, sameZone []membership.Member
	for _, m := range sortByRendezvous(p.host.otherHosts(), p.host.settings.ID) {
		switch {
		case m.State != membership.Up:
		case m.Zone != p.host.settings.Zone:
			preferred = append(preferred, m)
		default:
			sameZone = append(sameZone, m)
		}
	}
	if len(preferred) == 0 {
		preferred = sameZone
	}
	if len(preferred) == 0 {
		return nil
	}
	first := int(p.failures.Load() % uint64(len(preferred)))
	return append(preferred[first:len(preferred):len(preferred)], preferred[:first]...)
}

// sortByRendezvous returns the hosts sorted by the rendezvous hash of each host's ID
// and self, the ID of this host. The first host holds the copies of this host's bills.
// With this order, the copies of all hosts are distributed evenly, whatever the IDs look
// like, and few hosts change their holder when a host joins or leaves.
func sortByRendezvous(list []membership.Member, self string) []membership.Member {
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Compare(rendezvousScore(self, b.ID), rendezvousScore(self, a.ID))
	})
	return ranked
}

func rendezvousScore(self, other string) uint64 {
	return xxhash.Sum64String(self + "\x00" + other)
}

// Release implements ledger.Replicator.
func (p *billReplicator) Release(ctx context.Context, holder, owner string, upTo uint64) error {
	m, ok := p.host.members.Lookup(holder)
	if !ok {
		return nil
	}
	return p.host.peers.Call(ctx, m.PeerAddr, methodRelease, releaseParams{Owner: owner, UpTo: upTo}, nil)
}
