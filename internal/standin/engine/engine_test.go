package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEngine starts an engine that is stopped at the end of the test.
func startEngine(t *testing.T, opts Options) (*Engine, upstream.Target) {
	t.Helper()
	e := New(opts)
	if err := e.Bind(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
	return e, upstream.Target{ID: opts.ID, Address: e.Address()}
}

func newClient(t *testing.T) *upstream.EngineClient {
	t.Helper()
	c := upstream.NewEngine(upstream.EngineOptions{})
	t.Cleanup(func() { c.Close() })
	return c
}

func newCall(id, version, prompt string) upstream.Call {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, prompt)
	return upstream.Call{RequestID: id, Model: "m", Version: version, Body: []byte(body)}
}

// readAnswer sends a call and reads the answer to its end.
func readAnswer(t *testing.T, c *upstream.EngineClient, target upstream.Target, call upstream.Call) (string, upstream.Usage, error) {
	t.Helper()
	var state runstate.Tracker
	s, err := c.Open(t.Context(), target, call, &state)
	if err != nil {
		return "", upstream.Usage{}, err
	}
	defer s.Close()
	text := ""
	for {
		frame, err := s.Next()
		if err == io.EOF {
			return text, s.Usage(), nil
		}
		if err != nil {
			return text, upstream.Usage{}, err
		}
		text += frame.Text
	}
}

func TestAnswersAndCachesPrefix(t *testing.T) {
	is := is.New(t)
	e, target := startEngine(t, Options{ID: "e1", Versions: []string{"m@1"}})
	c := newClient(t)
	prompt := "a b c d e f g h i j k l m n o p q r"
	text, usage, err := readAnswer(t, c, target, newCall("r1", "1", prompt))
	is.NoErr(err)
	is.Equal(text, ExpectedAnswer("m", "1", prompt))
	is.Equal(usage.PromptTokens, 18)
	is.Equal(usage.CachedTokens, 0)
	_, usage, err = readAnswer(t, c, target, newCall("r2", "1", prompt+" s"))
	is.NoErr(err)
	is.Equal(usage.CachedTokens, blockTokens)
	is.Equal(e.Arrival("r1"), Arrival{RequestID: "r1", Model: "m@1", Priority: "0", Heads: 1, Bodies: 1, Began: 1, Finished: 1})
}

// Kill ends the answer in progress with an error, and the engine accepts no
// further connection.
func TestKill(t *testing.T) {
	is := is.New(t)
	e, target := startEngine(t, Options{ID: "e1", Versions: []string{"m@1"}, TimePerToken: time.Minute})
	c := newClient(t)
	var state runstate.Tracker
	s, err := c.Open(t.Context(), target, newCall("r1", "1", "a"), &state)
	is.NoErr(err)
	defer s.Close()
	is.Equal(e.Load().Running, 1)
	e.Kill()
	_, err = s.Next()
	is.True(err != nil && err != io.EOF)
	_, err = net.Dial("tcp", target.Address)
	is.True(err != nil)
}
