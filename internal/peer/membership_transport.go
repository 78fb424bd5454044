package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/membership"
)

// MethodMembershipExchange is the method of membership's messages.
const MethodMembershipExchange = "membership.exchange"

// ErrSender means that a message names another sender than its connection.
var ErrSender = errors.New("peer: message of another sender")

// MembershipTransport carries membership's exchanges.
type MembershipTransport struct {
	client *Client
}

// NewMembershipTransport returns a transport over a client, which is shared
// with other uses and stays the caller's to close.
func NewMembershipTransport(client *Client) *MembershipTransport {
	return &MembershipTransport{client: client}
}

// Exchange implements membership.Transport.
func (t *MembershipTransport) Exchange(ctx context.Context, to membership.Member, message membership.Message) (membership.Message, error) {
	var answer membership.Message
	err := t.client.Call(ctx, to.PeerAddr, MethodMembershipExchange, message, &answer)
	if err != nil && to.State == membership.Down {
		// It may never come back at this address.
		t.client.Forget(to.PeerAddr)
	}
	return answer, err
}

// HandleMembership makes a server answer the exchanges for m.
func HandleMembership(s *Server, m *membership.Membership) {
	Handle(s, MethodMembershipExchange, func(ctx context.Context, from string, message membership.Message) (membership.Message, error) {
		if message.From != from {
			return membership.Message{}, fmt.Errorf("%w: %q on a connection of %q", ErrSender, message.From, from)
		}
		return m.HandleExchange(ctx, message)
	})
}
