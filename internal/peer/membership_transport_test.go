package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quetzalweir/quetzalweir/membership"
)

// TestMembershipOverConnections runs three members over loopback. They must
// discover each other through one seed, replicate a fact, and detect the member
// that stops.
func TestMembershipOverConnections(t *testing.T) {
	is := is.New(t)
	keys := []Key{testKey("k1")}
	var members []*membership.Membership
	var clients []*Client
	var stops []func()
	seed := ""
	for _, id := range []string{"a", "b", "c"} {
		s, stop := startServer(t, ServerOptions{Self: id, Keys: keys})
		if seed == "" {
			seed = s.Addr()
		}
		c := newClient(t, ClientOptions{Self: id, Keys: keys})
		m, err := membership.New(membership.Options{
			Self: membership.Member{ID: id, Zone: "z", PeerAddr: s.Addr()}, Seeds: []string{seed},
			Transport: NewMembershipTransport(c), RoundInterval: 20 * time.Millisecond, SyncInterval: 20 * time.Millisecond,
		})
		is.NoErr(err)
		HandleMembership(s, m)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		stops = append(stops, func() {
			cancel()
			is.NoErr(<-done)
			stop()
		})
		members, clients = append(members, m), append(clients, c)
	}
	eventually := func(condition func(m *membership.Membership) bool, observers ...*membership.Membership) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for _, m := range observers {
			for !condition(m) {
				is.NoErr(ctx.Err())
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	eventually(func(m *membership.Membership) bool { return len(m.Members()) == 3 }, members...)
	is.NoErr(members[0].Put(membership.Fact{Key: "head", Version: 7}))
	eventually(func(m *membership.Membership) bool { _, ok := m.Get("head"); return ok }, members...)
	for _, s := range clients[0].Stats().Methods {
		t.Logf("%s: %d frames and %d bytes out, %d and %d in", s.Method, s.FramesOut, s.BytesOut, s.FramesIn, s.BytesIn)
	}
	stops[2]()
	eventually(func(m *membership.Membership) bool {
		c, _ := m.Lookup("c")
		return c.State == membership.Down
	}, members[:2]...)
	stops[1]()
	stops[0]()
}

func TestMessageOfAnotherSenderIsRejected(t *testing.T) {
	is := is.New(t)
	keys := []Key{testKey("k1")}
	s, _ := startServer(t, ServerOptions{Keys: keys})
	c := newClient(t, ClientOptions{Keys: keys})
	m, err := membership.New(membership.Options{Self: membership.Member{ID: "server"}, Transport: NewMembershipTransport(c)})
	is.NoErr(err)
	HandleMembership(s, m)
	_, err = NewMembershipTransport(c).Exchange(t.Context(), membership.Member{PeerAddr: s.Addr()}, membership.Message{From: "forged"})
	var rejected *CallError
	is.True(errors.As(err, &rejected))
}
