package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/membership"
)

// MethodMembershipExchange is the RPC method for membership messages.
const MethodMembershipExchange = "membership.exchange"

// ErrSenderMismatch means that the sender named in a message isn't the authenticated
// peer of the connection on which the message arrived.
var ErrSenderMismatch = errors.New("peer: message of another sender")

// MembershipTransport implements membership.Transport over a Client.
type MembershipTransport struct {
	client *Client
}

// NewMembershipTransport returns a transport that uses client. The client may be
// shared, and the caller closes it.
func NewMembershipTransport(client *Client) *MembershipTransport {
	return &MembershipTransport{client: client}
}

// Exchange implements membership.Transport.
func (t *MembershipTransport) Exchange(ctx context.Context, to membership.Member, message membership.Message) (membership.Message, error) {
	var reply membership.Message
	err := t.client.Call(ctx, to.PeerAddr, MethodMembershipExchange, message, &reply)
	if err != nil && to.State == membership.Down {
		// The host may never be reachable at this address again, so its link is
		// discarded.
		t.client.Disconnect(to.PeerAddr)
	}
	return reply, err
}

// HandleMembership registers a handler on s that passes membership messages to m.
func HandleMembership(s *Server, m *membership.Membership) {
	Handle(s, MethodMembershipExchange, func(ctx context.Context, from string, message membership.Message) (membership.Message, error) {
		if message.From != from {
			return membership.Message{}, fmt.Errorf("%w: %q on a connection of %q", ErrSenderMismatch, message.From, from)
		}
		return m.HandleExchange(ctx, message)
	})
}
