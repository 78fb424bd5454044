package peer_test

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/internal/peer"
)

type addParams struct {
	A int `json:"a"`
	B int `json:"b"`
}

func Example() {
	keys := []peer.Key{{ID: "2026-12", Secret: []byte("an example, real ones are random")}}
	server, err := peer.NewServer(peer.ServerOptions{Listen: "127.0.0.1:0", Self: "entry-1", Keys: keys})
	if err != nil {
		fmt.Println(err)
		return
	}
	peer.Handle(server, "add", func(_ context.Context, _ string, p addParams) (int, error) {
		return p.A + p.B, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error)
	go func() { done <- server.Serve(ctx) }()

	client, err := peer.NewClient(peer.ClientOptions{Self: "entry-2", Keys: keys})
	if err != nil {
		fmt.Println(err)
		return
	}
	var sum int
	err = client.Call(ctx, server.Addr(), "add", addParams{A: 2, B: 3}, &sum)
	fmt.Println(sum, err)

	client.Close()
	cancel()
	fmt.Println(<-done)
	// Output:
	// 5 <nil>
	// <nil>
}
