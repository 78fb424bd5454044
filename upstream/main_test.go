package upstream_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// standinServer is implemented by the engine and service stand-ins.
type standinServer interface {
	Bind() error
	Run(ctx context.Context) error
	Address() string
}

// startStandin runs a stand-in until the test ends.
func startStandin(t testing.TB, standin standinServer) upstream.Target {
	t.Helper()
	if err := standin.Bind(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- standin.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return upstream.Target{ID: "u1", Address: standin.Address()}
}

func startEngine(t testing.TB, opts engine.Options) (*engine.Engine, upstream.Target) {
	t.Helper()
	opts.Versions = []string{"m@1"}
	e := engine.New(opts)
	return e, startStandin(t, e)
}

func startService(t testing.TB) (*service.Service, upstream.Target) {
	t.Helper()
	s := service.New(service.Options{})
	return s, startStandin(t, s)
}

func newEngineClient(t testing.TB, opts upstream.EngineOptions) *upstream.EngineClient {
	t.Helper()
	c := upstream.NewEngine(opts)
	t.Cleanup(func() { c.Close() })
	return c
}

func newServiceClient(t testing.TB) *upstream.ServiceClient {
	t.Helper()
	c := upstream.NewService(upstream.ServiceOptions{MaxResponseBytes: 1 << 10})
	t.Cleanup(func() { c.Close() })
	return c
}

// prompt makes the engine stand-in respond with 50 frames.
const prompt = "read lot 17 tokens=50"

func engineCall(id string) upstream.Call { return engineCallWith(id, prompt) }

func engineCallWith(id, prompt string) upstream.Call {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, prompt)
	return upstream.Call{RequestID: id, Model: "m", Version: "1", Body: []byte(body)}
}

// openAndRead sends a call and reads its response to the end.
func openAndRead(ctx context.Context, c upstream.Engine, target upstream.Target, call upstream.Call, state *runstate.Tracker) (string, error) {
	stream, err := c.Open(ctx, target, call, state)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	return readText(stream)
}

// readText reads a stream to its end and checks the sequence numbers.
func readText(stream upstream.Stream) (text string, err error) {
	for seq := uint64(1); ; seq++ {
		frame, err := stream.Next()
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		if frame.Seq != seq {
			return text, fmt.Errorf("received frame %d, expected %d", frame.Seq, seq)
		}
		text += frame.Text
	}
}
