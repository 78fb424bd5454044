package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Self is this host's id, told to the hosts that it calls.
	Self string
	// Keys are the keys to authenticate with, the preferred one first.
	Keys []Key
	// Limits bounds each connection.
	Limits Limits
	// LocalIP is the address that connections are made from; nil lets the
	// system choose. On a host with several addresses it lets others, and what
	// stands between, see one address a host.
	LocalIP net.IP
	// DialTimeout bounds the TCP connect; default 1 s.
	DialTimeout time.Duration
	// StallTimeout is how long a connection may leave calls unanswered
	// without a byte read before it is cut; default 3 s.
	StallTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait after a failed dial, doubled
	// each time and jittered; defaults 100 ms and 2 s. Calls within the wait
	// fail at once.
	MinBackoff, MaxBackoff time.Duration
}

// Client calls other hosts, over one connection for each address.
type Client struct {
	options ClientOptions
	traffic *traffic

	// closing ends dials in progress.
	closing context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewClient returns a client without connections.
func NewClient(options ClientOptions) (*Client, error) {
	if err := checkIdentity(options.Self, options.Keys); err != nil {
		return nil, err
	}
	options.Limits = options.Limits.withDefaults()
	defaults.Positive(&options.DialTimeout, DefaultDialTimeout)
	defaults.Positive(&options.StallTimeout, DefaultStallTimeout)
	defaults.Positive(&options.MinBackoff, DefaultMinBackoff)
	defaults.Positive(&options.MaxBackoff, DefaultMaxBackoff)
	closing, cancel := context.WithCancel(context.Background())
	return &Client{
		options: options,
		traffic: newTraffic(),
		closing: closing,
		cancel:  cancel,
		links:   make(map[string]*link),
	}, nil
}

// Call sends a call to the host at addr and stores its answer in result, a
// pointer or nil. It never sends a call twice. ErrUnreachable, ErrOverloaded
// and ErrTooLarge mean that it wasn't sent; ErrBroken and the context's error
// that it may have been; a CallError is the other host's answer.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	l, err := c.link(addr)
	if err != nil {
		return err
	}
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	raw, err := conn.call(ctx, method, params)
	if err != nil {
		return fmt.Errorf("peer: call %s of %s: %w", method, addr, err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return fmt.Errorf("%w: result of %s: %w", ErrMalformed, method, err)
	}
	return nil
}

// Stats returns the traffic by method.
func (c *Client) Stats() Stats { return c.traffic.snapshot() }

// Close cuts all connections; open calls fail with ErrBroken.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.cancel()
	links := c.links
	c.links = nil
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	c.work.Wait()
	return nil
}

func (c *Client) link(addr string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, ErrClosed)
	}
	l, ok := c.links[addr]
	if !ok {
		l = &link{client: c, addr: addr}
		c.links[addr] = l
	}
	return l, nil
}

// spawn runs f in the background; it reports false after Close.
func (c *Client) spawn(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.work.Go(f)
	return true
}

// Forget closes the connection to addr and drops its state, for a host that
// is gone.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	l := c.links[addr]
	delete(c.links, addr)
	c.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// backoff returns the jittered wait after a number of failed dials in a row.
func (o ClientOptions) backoff(failures int) time.Duration {
	wait := o.MinBackoff
	for i := 1; i < failures && wait < o.MaxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, o.MaxBackoff)
	return wait/2 + rand.N(wait/2+1)
}

// clientConn is one authenticated connection.
type clientConn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	stall  time.Duration
	// slots holds one token for each open call, abandoned ones included.
	slots chan struct{}
	// spawn runs a function that the client's Close waits for.
	spawn func(func()) bool
}

// answer is the outcome of one call.
type answer struct {
	raw json.RawMessage
	err error
}

// call sends one call and waits for its answer or the end of ctx. The call
// goes on without its caller, because a write can't be taken back.
func (c *clientConn) call(ctx context.Context, method string, params any) (json.RawMessage, error) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.cutIfStalled()
		return nil, ErrOverloaded
	}
	done := make(chan answer, 1)
	spawned := c.spawn(func() {
		defer func() { <-c.slots }()
		var raw json.RawMessage
		err := c.rpc.Call(context.WithoutCancel(ctx), method, params, &raw)
		done <- answer{raw, c.classify(method, err)}
	})
	if !spawned {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, ErrClosed)
	}
	select {
	case a := <-done:
		return a.raw, a.err
	case <-ctx.Done():
		c.cutIfStalled()
		return nil, context.Cause(ctx)
	}
}

// cutIfStalled closes a connection on which nothing was read for too long
// while calls were open, for example because the other host is frozen.
func (c *clientConn) cutIfStalled() {
	last := time.Duration(c.stream.lastRead.Load())
	if boottime.Elapsed()-last >= c.stall {
		c.rpc.Close()
	}
}

// classify gives an error of jsonrpc2 its meaning.
func (c *clientConn) classify(method string, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return &CallError{Method: method, Code: remote.Code, Message: remote.Message}
	case errors.Is(err, ErrTooLarge):
		return err
	default:
		return c.broken(err)
	}
}

// broken adds what ended the stream, where that is known.
func (c *clientConn) broken(err error) error {
	if cause := c.stream.err(); cause != nil {
		return fmt.Errorf("%w: %w", ErrBroken, cause)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
