package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/internal/peer"
)

// The measured methods. The names are as long as the entry host's.
const (
	methodEmpty = "ledger.hold"
	methodView  = "config.view"
	// handshake is the name under which package peer counts handshakes.
	handshake = "(handshake)"
)

var peerKeys = []peer.Key{{ID: "2026-12", Secret: []byte("a secret of thirty-two bytes or so")}}

type none struct{}

func (r *run) peers() error {
	server, err := peer.NewServer(peer.ServerOptions{Listen: "127.0.0.1:0", Self: "entry-000", Keys: peerKeys})
	if err != nil {
		return err
	}
	peer.Handle(server, methodEmpty, func(context.Context, string, none) (none, error) { return none{}, nil })
	peer.Handle(server, methodView, func(context.Context, string, none) (config.PeerView, error) {
		return config.PeerView{
			Host: "entry-000", Newest: 16_000, Epoch: 16_000, HasWord: true, WordAge: time.Second,
			Digest: "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
		}, nil
	})
	ctx, stop := context.WithCancel(r.ctx)
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	err = r.peerCalls(server.Addr())
	if err == nil {
		err = r.peerMemory(server.Addr())
	}
	stop()
	<-done
	return err
}

func newPeer(i int) (*peer.Client, error) {
	return peer.NewClient(peer.ClientOptions{Self: fmt.Sprintf("entry-%03d", i), Keys: peerKeys})
}

func (r *run) peerCalls(addr string) error {
	client, err := newPeer(1)
	if err != nil {
		return err
	}
	defer client.Close()
	call := func(method string) func() error {
		return func() error { return client.Call(r.ctx, addr, method, none{}, nil) }
	}
	micros, err := r.cpuPer(2000, call(methodEmpty))
	if err != nil {
		return err
	}
	if err := call(methodView)(); err != nil {
		return err
	}
	r.constant(capacity.CallBytes, unitBytes, "frames of a call without parameters and of its answer", perCall(client, methodEmpty))
	r.constant(capacity.ViewBytes, unitBytes, "frames of config.view and of its answer", perCall(client, methodView))
	r.constant(capacity.CallCPU, unitCPU, "both ends of a call without parameters", micros)
	dial, err := r.cpuPer(200, func() error {
		client.Forget(addr)
		return call(methodEmpty)()
	})
	if err != nil {
		return err
	}
	r.constant(capacity.DialBytes, unitBytes, "frames of the handshake", perCall(client, handshake))
	r.constant(capacity.DialCPU, unitCPU, "both ends of a new connection", dial-micros)
	return nil
}

// perCall returns the bytes of a method's call and answer, by the client's own
// count.
func perCall(client *peer.Client, method string) float64 {
	for _, m := range client.Stats().Methods {
		if m.Method == method {
			calls := max(1, m.FramesOut)
			return float64(m.BytesIn+m.BytesOut) / float64(calls)
		}
	}
	return 0
}

func (r *run) peerMemory(addr string) error {
	var points []capacity.Point
	for _, n := range []int{10, 50, 200} {
		before := heapAndStacks()
		var clients []*peer.Client
		for i := range n {
			client, err := newPeer(i)
			if err != nil {
				return err
			}
			clients = append(clients, client)
			if err := client.Call(r.ctx, addr, methodEmpty, none{}, nil); err != nil {
				return err
			}
		}
		points = append(points, capacity.Point{X: float64(n), Y: heapAndStacks() - before})
		for _, client := range clients {
			client.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.line(capacity.ConnMemory, unitBytes, "connections", "heap and stacks of both ends of each connection", points...)
	return nil
}
