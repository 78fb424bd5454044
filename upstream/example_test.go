package upstream_test

import (
	"context"
	"fmt"
	"io"

	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// serveExample runs a stand-in until stop is called.
func serveExample(standin standinServer) (target upstream.Target, stop func()) {
	if err := standin.Bind(); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- standin.Run(ctx) }()
	return upstream.Target{ID: "e1", Address: standin.Address()}, func() {
		cancel()
		<-ended
	}
}

func ExampleNewEngine() {
	target, stop := serveExample(engine.New(engine.Options{Versions: []string{"m@1"}}))
	defer stop()
	client := upstream.NewEngine(upstream.EngineOptions{})
	defer client.Close()

	var state runstate.Tracker
	call := upstream.Call{
		RequestID: "r1",
		Model:     "m",
		Version:   "1",
		Body:      []byte(`{"messages":[{"role":"user","content":"any bids? tokens=3"}]}`),
	}
	stream, err := client.Open(context.Background(), target, call, &state)
	if err != nil {
		fmt.Println(err, state.State())
		return
	}
	defer stream.Close()
	for {
		frame, err := stream.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Print(frame.Text)
	}
	fmt.Println()
	fmt.Println(stream.Usage().CompletionTokens, "tokens,", state.State())
	// Output:
	// hammer bid paint.
	// 3 tokens, ran
}
