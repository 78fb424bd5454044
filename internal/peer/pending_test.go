package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Connections that never authenticate must not keep hosts from connecting.
func TestUnauthenticatedConnectionsLeaveRoomForHosts(t *testing.T) {
	is := is.New(t)
	s, _ := startServer(t, ServerOptions{Keys: []Key{testKey("k")}, MaxConns: 8, Limits: Limits{HandshakeTimeout: time.Minute}})
	for range 32 {
		conn, err := net.Dial("tcp", s.Addr())
		is.NoErr(err)
		defer conn.Close()
	}
	client, err := NewClient(ClientOptions{Self: "client", Keys: []Key{testKey("k")}})
	is.NoErr(err)
	defer client.Close()
	var result echoResult
	is.NoErr(client.Call(context.Background(), s.Addr(), "echo", echoParams{Text: "hello"}, &result))
	is.Equal(result.Text, "hello")
	s.pending.mu.Lock()
	defer s.pending.mu.Unlock()
	is.True(len(s.pending.conns) <= 2) // a quarter of MaxConns
}
