package entry

import (
	"context"
	"fmt"
	"strings"

	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/quota"
)

// methodBorrow is the method that asks another host to lend slots of an account's
// limit.
const methodBorrow = "quota.borrow"

// holderSeparator separates the host's ID from the random suffix in the holder names
// that package quota uses.
const holderSeparator = '.'

// runQuota maintains this host's slots of the account limits until a planned stop
// begins or ctx ends.
func (h *Host) runQuota(ctx context.Context) error {
	defer close(h.quotaDone)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.quotaCtx, cancel)()
	h.quota.Run(ctx)
	return nil
}

// releaseQuota ends runQuota and then returns this host's slots, so that other hosts
// can use them.
func (h *Host) releaseQuota(ctx context.Context) error {
	h.cancelQuota()
	<-h.quotaDone
	return h.quota.Leave(ctx)
}

// registerLoanMethod registers the method by which other hosts borrow slots.
func (h *Host) registerLoanMethod() {
	peer.Handle(h.peerServer, methodBorrow, func(_ context.Context, _ string, r quota.LoanRequest) (quota.Loan, error) {
		return h.quota.Lend(r)
	})
}

// quotaPeers borrows slots from other hosts.
type quotaPeers struct {
	host *Host
}

// Borrow implements quota.Peers.
func (p *quotaPeers) Borrow(ctx context.Context, holder string, request quota.LoanRequest) (quota.Loan, error) {
	var loan quota.Loan
	id := holder[:max(0, strings.LastIndexByte(holder, holderSeparator))]
	m, ok := p.host.members.Lookup(id)
	if !ok {
		return loan, fmt.Errorf("borrow from %s: %w", id, errNoOtherHost)
	}
	err := p.host.peers.Call(ctx, m.PeerAddr, methodBorrow, request, &loan)
	return loan, err
}
