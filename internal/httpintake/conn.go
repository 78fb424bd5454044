package httpintake

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quetzalweir/quetzalweir/intake"
)

const (
	// headReadAhead is the size of the server library's buffer: a head is parsed once its end is in it, and
	// then the beginning of the body may be in it, too.
	headReadAhead = 4 << 10
	// headByteCost and headLineCost are the memory that is accounted for a byte and for a line of a head:
	// its text, its place in the header, and that in the header of the request to the upstream.
	headByteCost = 2
	headLineCost = 256
	// writePart is the size of the parts in which answers are written. Each has the time of WriteTimeout.
	writePart = 32 << 10
	// refusalTimeout bounds the time for writing a refusal to a caller that is still sending, and the time
	// for which the rest of its request is then read. If the connection were closed at once, the system
	// would discard the refusal.
	refusalTimeout = 500 * time.Millisecond
	// unreadBodyTimeout bounds the time of a body that the handler doesn't read with ReadBody: the server
	// library reads the rest of it before it answers.
	unreadBodyTimeout = 10 * time.Second
	// maxLingering is the number of connections whose requests are read after a refusal at a time.
	maxLingering = 64
	// maxDiscarded bounds what is read before a connection is closed after an answer, in bytes.
	maxDiscarded = 64 << 10
)

// Errors of ReadBody, beside those of the connection and http.MaxBytesError.
var (
	// ErrNoMemory means that the host has no memory for the request, or that it ended the request in
	// favor of others.
	ErrNoMemory = errors.New("httpintake: no memory for the request")
	// ErrBodyTimeout means that the body wasn't received in time.
	ErrBodyTimeout = errors.New("httpintake: the body wasn't received in time")
	// ErrWriteTimeout means that the caller didn't read its answer.
	ErrWriteTimeout = errors.New("httpintake: the caller doesn't read the answer")

	errHeadTooLarge = errors.New("httpintake: the head is too large")
	errEnded        = errors.New("httpintake: the connection is ended in favor of others")
)

// Conn is a connection of a caller. It sets the deadlines of reads outside of requests and of all writes.
type Conn struct {
	net.Conn // nil for a request that was attached to the pool
	pool     *Pool
	options  *ServerOptions
	entry    *intake.Conn

	// inRequest is set from the end of a request's head until the server waits for the next head.
	inRequest atomic.Bool
	// headBytes is the size of the head so far. It belongs to the goroutine that reads.
	headBytes int
	// linger is set if the rest of a refused request is to be read before the connection is closed, reset if
	// the connection is to be closed without delivering what is written.
	linger, reset atomic.Bool
	closing       sync.Once
	closeErr      error
}

// Read implements net.Conn. It bounds the head of a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.inRequest.Load() {
		return n, err
	}
	if n > 0 {
		if headErr := c.accountHead(p[:n]); headErr != nil {
			// The server library writes no answer of its own after an error of this type.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: headErr}
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.headBytes > 0 {
		c.pool.ends.record(endRecord{c.options.Name, intake.Head, reasonTimeout}, c.RemoteAddr())
	}
	return n, err
}

// accountHead accounts a part of a head, which may end with the beginning of a body.
func (c *Conn) accountHead(part []byte) error {
	// Empty lines before the request line don't end the head.
	if i := bytes.Index(part, []byte("\r\n\r\n")); i > 0 {
		part = part[:i]
	}
	now := time.Now()
	if c.headBytes == 0 {
		_ = c.Conn.SetReadDeadline(now.Add(c.options.HeadTimeout()))
	}
	if c.linger.Load() {
		return errHeadTooLarge // refused already
	}
	c.headBytes += len(part)
	if c.headBytes > min(c.options.MaxHead()+headReadAhead, maxHeadBytes) {
		c.refuseHead()
		return errHeadTooLarge
	}
	cost := headByteCost*int64(len(part)) + headLineCost*int64(bytes.Count(part, []byte("\n")))
	p := c.pool
	p.mu.Lock()
	ok := c.entry.Stage() == intake.Head || p.ledger.SetStage(c.entry, intake.Head, now)
	var ended []*intake.Conn
	if ok {
		ended, ok = p.ledger.Reserve(c.entry, intake.ForRequest, cost, now)
	}
	p.mu.Unlock()
	p.end(ended)
	if !ok {
		p.ends.record(endRecord{c.options.Name, intake.Head, reasonMemory}, c.RemoteAddr())
		return errEnded
	}
	return nil
}

// refuseHead answers a head that is too large.
func (c *Conn) refuseHead() {
	c.pool.ends.record(endRecord{c.options.Name, intake.Head, reasonTooLarge}, c.RemoteAddr())
	const status = "431 Request Header Fields Too Large"
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(status), status)
	c.linger.Store(true)
}

// beginRequest states that the head of a request is complete. It returns false if the connection is to end.
func (c *Conn) beginRequest(req *http.Request) bool {
	c.inRequest.Store(true)
	c.headBytes = 0
	stage := intake.Serving
	if req.ContentLength != 0 {
		stage = intake.Body
		if c.Conn != nil {
			_ = c.Conn.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		}
	} else if c.Conn != nil {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return c.setStage(stage)
}

// endRequest states that the answer to a request was written, and that the server waits for the next one.
func (c *Conn) endRequest() {
	// A connection that is to end was closed.
	c.setStage(intake.Idle)
	c.linger.Store(false)
	c.inRequest.Store(false)
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.options.IdleTimeout()))
}

func (c *Conn) setStage(s intake.Stage) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.ledger.SetStage(c.entry, s, time.Now())
}

// Reserve accounts memory for the connection's request or answer, in bytes. It returns false if the host has
// none. All that a request took is released when the connection waits for the next one.
func (c *Conn) Reserve(u intake.Use, bytes int64) bool {
	p := c.pool
	p.mu.Lock()
	ended, ok := p.ledger.Reserve(c.entry, u, bytes, time.Now())
	p.mu.Unlock()
	p.end(ended)
	return ok
}

// Release returns memory that was reserved, in bytes.
func (c *Conn) Release(u intake.Use, bytes int64) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.ledger.Release(c.entry, u, bytes)
}

// BodyUnread reports whether the body of the request in progress wasn't read whole. The rest of it is then
// awaited for a short time only, so the caller is answered even if the body doesn't end.
func (c *Conn) BodyUnread() bool {
	c.pool.mu.Lock()
	unread := c.entry.Stage() == intake.Body
	c.pool.mu.Unlock()
	if unread && c.Conn != nil {
		c.linger.Store(true)
		_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTimeout))
	}
	return unread
}

// yield ends the connection in favor of others. A request whose body is being read is answered.
func (c *Conn) yield() {
	c.pool.mu.Lock()
	stage := c.entry.Stage()
	c.pool.mu.Unlock()
	if c.Conn == nil {
		return // ReadBody finds that the request is to end
	}
	c.pool.ends.record(endRecord{c.options.Name, stage, reasonYielded}, c.RemoteAddr())
	if stage == intake.Body {
		_ = c.Conn.SetReadDeadline(time.Now())
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && stage == intake.Writing {
		_ = tcp.SetLinger(0)
	}
	// The server closes c when it finds that the connection is closed.
	_ = c.Conn.Close()
}

// SetReadDeadline implements net.Conn. Outside of requests, the server's deadlines don't apply.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !c.inRequest.Load() && t.IsZero() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It bounds the time of each part of an answer.
func (c *Conn) Write(data []byte) (int, error) {
	tracked := c.beginWrite()
	written := 0
	for written < len(data) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.options.WriteTimeout))
		n, err := c.Conn.Write(data[written:min(len(data), written+writePart)])
		written += n
		if err != nil {
			// What the system has buffered won't be read either.
			c.reset.Store(true)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.pool.ends.record(endRecord{c.options.Name, intake.Writing, reasonTimeout}, c.RemoteAddr())
				err = fmt.Errorf("%w: %w", ErrWriteTimeout, err)
			}
			return written, err
		}
		if tracked && written < len(data) {
			c.progress()
		}
	}
	if tracked {
		c.setStage(intake.Serving)
	}
	return written, nil
}

// beginWrite states that an answer is being written. It returns false for what is written before a request
// was read.
func (c *Conn) beginWrite() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.entry.Stage() == intake.Serving && c.pool.ledger.SetStage(c.entry, intake.Writing, time.Now())
}

func (c *Conn) progress() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.ledger.Progress(c.entry, time.Now())
}

// CloseWrite closes the connection for writing.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.releaseRequest()
		switch {
		case c.linger.Load():
			c.awaitCaller()
		case !c.reset.Load():
			c.discardReceived()
		}
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.reset.Load() {
			_ = tcp.SetLinger(0)
		}
		c.closeErr = c.Conn.Close()
		c.release()
	})
	return c.closeErr
}

// discardReceived reads what has been received, for example the caller's next request. If it were unread when the connection is
// closed, the system would discard the end of the answer that it hasn't delivered yet.
func (c *Conn) discardReceived() {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	buffer := make([]byte, headReadAhead)
	// Unlike Read, Control doesn't wait for a read in progress, which ends only with the connection.
	_ = raw.Control(func(fd uintptr) {
		for range maxDiscarded / headReadAhead {
			if n, err := syscall.Read(int(fd), buffer); n <= 0 || err != nil {
				return
			}
		}
	})
}

// awaitCaller reads what the caller of a refused request still sends, until it has read the refusal and
// closes the connection.
func (c *Conn) awaitCaller() {
	lingering := &c.pool.lingering
	defer lingering.Add(-1)
	if lingering.Add(1) > maxLingering || c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTimeout))
	buffer := make([]byte, headReadAhead)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// releaseRequest returns the memory of the request and its answer.
func (c *Conn) releaseRequest() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.ledger.ReleaseAll(c.entry)
}

// release removes the connection from the ledger.
func (c *Conn) release() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.ledger.Close(c.entry)
}
