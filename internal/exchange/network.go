package exchange

import (
	"context"

	"github.com/quetzalweir/quetzalweir/internal/peer"
)

// network carries reports to other hosts.
type network interface {
	// call sends the report to the host at the address and returns its reply.
	call(ctx context.Context, address string, report Report) (Reply, error)
	// disconnect closes the connection to the address; the next call opens a new one.
	disconnect(address string)
}

// peerNetwork carries reports over package peer.
type peerNetwork struct {
	client *peer.Client
}

func (n peerNetwork) call(ctx context.Context, address string, report Report) (Reply, error) {
	var reply Reply
	err := n.client.Call(ctx, address, exchangeMethod, report, &reply)
	return reply, err
}

func (n peerNetwork) disconnect(address string) { n.client.Disconnect(address) }

// callWithTimeout makes one call and ends it after callTimeout.
func callWithTimeout(ctx context.Context, net network, address string, report Report) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return net.call(ctx, address, report)
}
