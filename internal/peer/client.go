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
	// Self is the id of this host, which is sent to the hosts that it calls.
	Self string
	// Keys lists the keys to authenticate with, in order of preference.
	Keys []Key
	// Limits applies to each connection.
	Limits Limits
	// LocalIP is the source address of connections. Nil lets the system choose. On a
	// host with several addresses, setting it makes peers and middleboxes see the
	// same source address for all connections from the host.
	LocalIP net.IP
	// DialTimeout limits the time to establish the TCP connection; default 1 s.
	DialTimeout time.Duration
	// StallTimeout is how long a connection with open calls may receive no
	// complete frame before it counts as stalled and is closed; default 3 s.
	StallTimeout time.Duration
	// MinBackoff and MaxBackoff limit the delay after a failed dial, which
	// doubles each time and has random jitter; defaults 100 ms and 2 s. Calls
	// during the delay fail immediately.
	MinBackoff, MaxBackoff time.Duration
}

// Client calls other hosts over one connection per address. The field links holds the
// link to each address.
type Client struct {
	options ClientOptions
	traffic *traffic

	// closeCtx is cancelled by Close and aborts dials in progress.
	closeCtx   context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewClient returns a client with no open connections.
func NewClient(options ClientOptions) (*Client, error) {
	if err := validateIdentity(options.Self, options.Keys); err != nil {
		return nil, err
	}
	options.Limits = options.Limits.withDefaults()
	defaults.Positive(&options.DialTimeout, DefaultDialTimeout)
	defaults.Positive(&options.StallTimeout, DefaultStallTimeout)
	defaults.Positive(&options.MinBackoff, DefaultMinBackoff)
	defaults.Positive(&options.MaxBackoff, DefaultMaxBackoff)
	closing, cancel := context.WithCancel(context.Background())
	return &Client{
		options:  options,
		traffic:  newTraffic(),
		closeCtx: closing,
		cancel:   cancel,
		links:    make(map[string]*link),
	}, nil
}

// Call calls method on the host at addr and stores the result in result, a
// pointer or nil. It never sends a call twice. ErrUnreachable, ErrOverloaded and
// ErrTooLarge mean that the call was not sent; ErrBroken and the context's error
// mean that it may have been sent; a CallError is the other host's error response.
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

// Stats returns the traffic per method.
func (c *Client) Stats() Stats { return c.traffic.snapshot() }

// Close closes all connections; open calls fail with ErrBroken.
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
	c.background.Wait()
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

// spawn runs f in a goroutine that Close waits for. It returns false without
// running f once the client is closed.
func (c *Client) spawn(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.background.Go(f)
	return true
}

// Disconnect closes the connection to addr and discards its state. It is meant for a
// host that has left.
func (c *Client) Disconnect(addr string) {
	c.mu.Lock()
	l := c.links[addr]
	delete(c.links, addr)
	c.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// backoff returns the delay, with jitter, before the next dial after the given
// number of consecutive failed dials.
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
	rpc          *jsonrpc2.Conn
	stream       *stream
	stallTimeout time.Duration
	// callSlots is a semaphore that holds one element for each open call, including
	// calls whose caller no longer waits.
	callSlots chan struct{}
	// spawn runs a function in a goroutine that Client.Close waits for.
	spawn func(func()) bool
}

// callResult is the result or error of one call.
type callResult struct {
	raw json.RawMessage
	err error
}

// call sends one call and waits for its response or the end of ctx. The call
// continues after ctx ends, because a write can't be undone.
func (c *clientConn) call(ctx context.Context, method string, params any) (json.RawMessage, error) {
	select {
	case c.callSlots <- struct{}{}:
	default:
		c.closeIfStalled()
		return nil, ErrOverloaded
	}
	done := make(chan callResult, 1)
	spawned := c.spawn(func() {
		defer func() { <-c.callSlots }()
		var raw json.RawMessage
		err := c.rpc.Call(context.WithoutCancel(ctx), method, params, &raw)
		done <- callResult{raw, c.classifyError(method, err)}
	})
	if !spawned {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, ErrClosed)
	}
	select {
	case result := <-done:
		return result.raw, result.err
	case <-ctx.Done():
		c.closeIfStalled()
		return nil, context.Cause(ctx)
	}
}

// closeIfStalled closes the connection if no frame was received for
// stallTimeout, for example because the process on the other host is suspended.
// It must be called only while calls are open, since an idle connection receives
// no frames.
func (c *clientConn) closeIfStalled() {
	last := time.Duration(c.stream.lastRead.Load())
	if boottime.Elapsed()-last >= c.stallTimeout {
		c.rpc.Close()
	}
}

// classifyError converts an error of jsonrpc2 to an error of this package.
func (c *clientConn) classifyError(method string, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return &CallError{Method: method, Code: remote.Code, Message: remote.Message}
	case errors.Is(err, ErrTooLarge):
		return err
	default:
		return c.brokenError(err)
	}
}

// brokenError returns ErrBroken wrapped with the error that ended the stream, or
// with err if there is none.
func (c *clientConn) brokenError(err error) error {
	if cause := c.stream.err(); cause != nil {
		return fmt.Errorf("%w: %w", ErrBroken, cause)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
