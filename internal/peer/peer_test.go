package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const loopback = "127.0.0.1:0"

// testKey returns a key whose secret depends on its id.
func testKey(id string) Key {
	return Key{ID: id, Secret: []byte(strings.Repeat(id+"*", MinSecretBytes))}
}

type echoParams struct {
	Text string `json:"text"`
}

type echoResult struct {
	Text string `json:"text"`
	From string `json:"from"`
}

func echo(_ context.Context, from string, p echoParams) (echoResult, error) {
	return echoResult{Text: p.Text, From: from}, nil
}

// startServer runs a server until the test ends or stop is called.
func startServer(t testing.TB, o ServerOptions) (s *Server, stop func()) {
	t.Helper()
	if o.Listen == "" {
		o.Listen = loopback
	}
	if o.Self == "" {
		o.Self = "server"
	}
	s, err := NewServer(o)
	if err != nil {
		t.Fatal(err)
	}
	Handle(s, "echo", echo)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	t.Cleanup(stop)
	return s, stop
}

func newClient(t testing.TB, o ClientOptions) *Client {
	t.Helper()
	if o.Self == "" {
		o.Self = "client"
	}
	c, err := NewClient(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func callEcho(c *Client, addr, text string) (echoResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var r echoResult
	err := c.Call(ctx, addr, "echo", echoParams{Text: text}, &r)
	return r, err
}

func TestCallsShareOneConnection(t *testing.T) {
	is := is.New(t)
	keys := []Key{testKey("k1")}
	s, _ := startServer(t, ServerOptions{Keys: keys})
	c := newClient(t, ClientOptions{Keys: keys})
	var calls sync.WaitGroup
	for i := range 50 {
		calls.Go(func() {
			text := fmt.Sprint(i)
			r, err := callEcho(c, s.Addr(), text)
			if err != nil || r.Text != text || r.From != "client" {
				t.Errorf("call %d: %+v, %v", i, r, err)
			}
		})
	}
	calls.Wait()
	for _, m := range c.Stats().Methods {
		if m.Method == handshakeMethod {
			is.Equal(m.FramesIn, uint64(1)) // one handshake, so one connection
		}
	}
}

func TestKeyRotation(t *testing.T) {
	oldKey, newKey := testKey("old"), testKey("new")
	tests := []struct {
		desc           string
		server, client []Key
		want           error
	}{
		{"same key", []Key{oldKey}, []Key{oldKey}, nil},
		{"server has both", []Key{oldKey, newKey}, []Key{oldKey}, nil},
		{"client has both, server only the new", []Key{newKey}, []Key{oldKey, newKey}, nil},
		{"no key in common", []Key{newKey}, []Key{oldKey}, ErrUnreachable},
		{"same id, other secret", []Key{{ID: "old", Secret: newKey.Secret}}, []Key{oldKey}, ErrAuthentication},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s, _ := startServer(t, ServerOptions{Keys: tt.server})
			c := newClient(t, ClientOptions{Keys: tt.client})
			_, err := callEcho(c, s.Addr(), "x")
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestCallErrors(t *testing.T) {
	is := is.New(t)
	keys := []Key{testKey("k1")}
	limits := Limits{MaxMessageBytes: 4096}
	s, _ := startServer(t, ServerOptions{Keys: keys, Limits: limits})
	Handle(s, "fail", func(context.Context, string, echoParams) (echoResult, error) {
		return echoResult{}, errors.New("handler failed")
	})
	Handle(s, "large", func(context.Context, string, echoParams) (echoResult, error) {
		return echoResult{Text: strings.Repeat("x", 8192)}, nil
	})
	c := newClient(t, ClientOptions{Keys: keys, Limits: limits})
	ctx := t.Context()

	var e *CallError
	is.True(errors.As(c.Call(ctx, s.Addr(), "absent", nil, nil), &e))
	is.Equal(e.Code, int64(CodeMethodNotFound))
	is.True(errors.As(c.Call(ctx, s.Addr(), "fail", echoParams{}, nil), &e))
	is.Equal(e.Message, "handler failed")
	is.True(errors.As(c.Call(ctx, s.Addr(), "echo", []int{1}, nil), &e))
	is.Equal(e.Code, int64(CodeInvalidParams))
	is.True(errors.As(c.Call(ctx, s.Addr(), "large", echoParams{}, nil), &e)) // the response exceeds the limit

	_, err := callEcho(c, s.Addr(), strings.Repeat("x", 8192))
	is.True(errors.Is(err, ErrTooLarge))
	r, err := callEcho(c, s.Addr(), "still works")
	is.NoErr(err)
	is.Equal(r.Text, "still works")
}

func TestUnreachableHostFailsFastThenReconnects(t *testing.T) {
	is := is.New(t)
	keys := []Key{testKey("k1")}
	s, stop := startServer(t, ServerOptions{Keys: keys})
	c := newClient(t, ClientOptions{Keys: keys, MinBackoff: time.Millisecond, MaxBackoff: 5 * time.Millisecond})
	_, err := callEcho(c, s.Addr(), "x")
	is.NoErr(err)
	stop()
	for err == nil || errors.Is(err, ErrBroken) { // repeated until the client detects the end of the connection
		_, err = callEcho(c, s.Addr(), "x")
	}
	is.True(errors.Is(err, ErrUnreachable))
	startServer(t, ServerOptions{Keys: keys, Listen: s.Addr()})
	for err != nil {
		_, err = callEcho(c, s.Addr(), "x")
		is.True(err == nil || errors.Is(err, ErrUnreachable))
	}
}

func TestStopLetsRunningCallsFinish(t *testing.T) {
	is := is.New(t)
	keys := []Key{testKey("k1")}
	s, stop := startServer(t, ServerOptions{Keys: keys, DrainTimeout: 10 * time.Second})
	entered, release := make(chan struct{}), make(chan struct{})
	Handle(s, "slow", func(_ context.Context, _ string, p echoParams) (echoResult, error) {
		close(entered)
		<-release
		return echoResult{Text: p.Text}, nil
	})
	c := newClient(t, ClientOptions{Keys: keys})
	done := make(chan error, 1)
	var r echoResult
	go func() { done <- c.Call(context.Background(), s.Addr(), "slow", echoParams{Text: "whole"}, &r) }()
	<-entered
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	for s.beginCall() { // repeated until the drain has started
		s.activeCalls.Done()
	}
	var rejected *CallError
	_, err := callEcho(c, s.Addr(), "late")
	is.True(errors.As(err, &rejected))
	is.Equal(rejected.Code, int64(CodeStopping))
	close(release)
	is.NoErr(<-done)
	is.Equal(r.Text, "whole")
	<-stopped
}

func TestStalledConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	keys := []Key{testKey("k1")}
	s, _ := startServer(t, ServerOptions{Keys: keys})
	block := make(chan struct{})
	s.Handle("block", HandlerFunc(func(context.Context, string, json.RawMessage) (any, error) {
		<-block
		return nil, nil
	}))
	defer close(block)
	c := newClient(t, ClientOptions{Keys: keys, StallTimeout: time.Nanosecond})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	open := make(chan error, 1)
	go func() { open <- c.Call(context.Background(), s.Addr(), "block", nil, nil) }()
	is.True(errors.Is(c.Call(ctx, s.Addr(), "block", nil, nil), context.DeadlineExceeded))
	is.True(errors.Is(<-open, ErrBroken)) // closing the connection ended the other open call
}

func TestTooManyCallsAreRejectedUnsent(t *testing.T) {
	is := is.New(t)
	keys := []Key{testKey("k1")}
	s, _ := startServer(t, ServerOptions{Keys: keys})
	block, entered := make(chan struct{}), make(chan struct{}, 1)
	s.Handle("block", HandlerFunc(func(context.Context, string, json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-block
		return nil, nil
	}))
	c := newClient(t, ClientOptions{Keys: keys, Limits: Limits{MaxConcurrentCalls: 1}})
	done := make(chan error, 1)
	go func() { done <- c.Call(context.Background(), s.Addr(), "block", nil, nil) }()
	<-entered
	_, err := callEcho(c, s.Addr(), "x")
	is.True(errors.Is(err, ErrOverloaded))
	close(block)
	is.NoErr(<-done)
}

func TestUnauthenticatedPeersAreClosed(t *testing.T) {
	keys := []Key{testKey("k1")}
	valid, _ := json.Marshal(hello{Protocol: protocol, Self: "x", KeyIDs: []string{"k1"}, Nonce: newNonce()})
	tests := []struct {
		desc  string
		bytes []byte
		want  error
	}{
		{"no length", []byte{0, 0}, ErrMalformed},
		{"huge length", []byte{0xff, 0xff, 0xff, 0xff}, ErrTooLarge},
		{"not JSON", append(encodeLength(3), "abc"...), ErrMalformed},
		{"other protocol", append(encodeLength(2), "{}"...), ErrMalformed},
		{"hello and a wrong proof", append(append(encodeLength(len(valid)), valid...), append(encodeLength(2), "{}"...)...), ErrAuthentication},
		{"hello and a call", append(append(encodeLength(len(valid)), valid...), append(encodeLength(4), `"ab"`...)...), ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			ended := make(chan error, 1)
			s, _ := startServer(t, ServerOptions{Keys: keys, OnDisconnect: func(_ string, err error) { ended <- err }})
			conn, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.Write(tt.bytes)
			conn.(*net.TCPConn).CloseWrite()
			if err := <-ended; !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestKeysAreNeverPrinted(t *testing.T) {
	key := Key{ID: "k1", Secret: []byte("0123456789abcdef0123456789abcdef")}
	printed := fmt.Sprintf("%v %+v %#v %s", key, []Key{key}, key, key)
	_, err := NewServer(ServerOptions{Self: "x", Listen: loopback, Keys: []Key{{ID: "k1", Secret: []byte("short-secret")}}})
	printed += fmt.Sprint(err)
	for _, secret := range []string{"0123456789", "short-secret", "48 49 50"} {
		if strings.Contains(printed, secret) {
			t.Fatalf("secret printed: %s", printed)
		}
	}
}

// BenchmarkCall measures one call and its response over one connection.
func BenchmarkCall(b *testing.B) {
	keys := []Key{testKey("k1")}
	s, _ := startServer(b, ServerOptions{Keys: keys})
	c := newClient(b, ClientOptions{Keys: keys})
	text := strings.Repeat("x", 512)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := callEcho(c, s.Addr(), text); err != nil {
			b.Fatal(err)
		}
	}
}

// TestUnresponsiveHostDoesNotBlockCallers calls a host whose kernel accepts
// connections while its process doesn't respond. The call must end with its context.
func TestUnresponsiveHostDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", loopback)
	is.NoErr(err)
	defer listener.Close()
	c := newClient(t, ClientOptions{Keys: []Key{testKey("k1")}, Limits: Limits{HandshakeTimeout: time.Hour}})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err = c.Call(ctx, listener.Addr().String(), "echo", echoParams{}, nil)
	is.True(errors.Is(err, ErrUnreachable)) // nothing was sent
	is.True(errors.Is(err, context.DeadlineExceeded))
}
