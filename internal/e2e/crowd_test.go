package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

// The tests of this file have crowds of callers send requests that don't end, or that are as large as
// permitted, to one process and keep their connections open. The process must stay within the memory and
// the descriptors of its settings and answer an ordinary request while the crowd is there.

const (
	// crowdSize and headCrowdSize are the numbers of connections of crowds that send bodies and heads.
	// crowdMemoryMB is the memory of the process, which is also the bound on its resident memory.
	crowdSize     = 200
	headCrowdSize = 600
	crowdMemoryMB = 96
	// crowdBody and crowdHead are the number of bytes of the bodies and heads that a connection sends. The
	// limit of bodies is 1 MiB, that of heads is 16 KiB at a gateway.
	crowdBody = 1 << 20
	crowdHead = 250_000
	// scarceDescriptors is the limit in the settings of tests that exhaust descriptors, of which
	// reservedDescriptors aren't for sockets. manyConnections is the number of connections of their crowds.
	scarceDescriptors   = 500
	reservedDescriptors = 200
	manyConnections     = 400
)

// acceptTime is a time in which a process accepts the connections of a crowd that the system has opened.
const acceptTime = 300 * time.Millisecond

// crowd is a set of connections to one address.
type crowd struct {
	address string
	writers sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
	// closed is the number of connections that the process closed.
	closed atomic.Int64
}

// openCrowd opens a number of connections, has each send bytes, and keeps them open until the test ends.
// It returns once each has sent all of its bytes or was closed by the process. An error of send ends the
// bytes of its connection.
func openCrowd(t *testing.T, address string, size int, send func(w io.Writer) error) *crowd {
	t.Helper()
	c := &crowd{address: address}
	t.Cleanup(c.close)
	for range size {
		c.writers.Go(func() { c.run(send) })
	}
	done := make(chan struct{})
	go func() { c.writers.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(2 * waitTimeout):
		t.Fatalf("the process at %s neither reads nor closes the connections of a crowd", address)
	}
	return c
}

func (c *crowd) run(send func(w io.Writer) error) {
	conn, err := net.DialTimeout("tcp", c.address, waitTimeout)
	if err != nil {
		c.closed.Add(1)
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if err := send(conn); err != nil {
		c.closed.Add(1)
	}
}

func (c *crowd) close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.writers.Wait()
}

// awaitEnd waits until the process has answered or closed each connection of the crowd.
func (c *crowd) awaitEnd(t *testing.T) {
	t.Helper()
	for _, conn := range c.conns {
		if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err != nil && isTimeout(err) {
			t.Fatalf("a connection to %s got no answer and isn't closed", c.address)
		}
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// repeated returns a function that sends a head, and then a block until a number of bytes of it are sent.
func repeated(head, block string, size int) func(w io.Writer) error {
	// Connections send up to 64 kB at a time.
	perWrite := max(1, 64<<10/len(block))
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		for sent := 0; sent < size; {
			n := min(perWrite, max(1, (size-sent)/len(block)))
			if _, err := io.WriteString(w, strings.Repeat(block, n)); err != nil {
				return err
			}
			sent += n * len(block)
		}
		return nil
	}
}

// inPieces returns a function that sends a text in pieces, each in a write of its own.
func inPieces(text string, piece int) func(w io.Writer) error {
	return func(w io.Writer) error {
		for rest := text; len(rest) > 0; {
			n := min(piece, len(rest))
			if _, err := io.WriteString(w, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
		}
		return nil
	}
}

var crowdRequests atomic.Int64

// gatewayHead returns the head of a request on the idempotent route, with further header lines.
func gatewayHead(key, lines string) string {
	return fmt.Sprintf("POST /many/x HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: crowd-%d\r\nX-Api-Key: %s\r\n%s", crowdRequests.Add(1), key, lines)
}

// sized returns the header lines of a body with a length, and the end of the head.
func sized(length int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", length) }

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// crowdCase is what each connection of a crowd sends to a process.
type crowdCase struct {
	desc string
	send func(w io.Writer) error
}

// endlessHeads are heads over the limits or without end, for any address of a process.
func endlessHeads() []crowdCase {
	return []crowdCase{
		{"head of short lines", repeated("GET /many/x HTTP/1.1\r\n", "a: b\r\n", crowdHead)},
		{"head of short lines with different names", manyNames},
		{"head of lines without end", repeated("GET /many/x HTTP/1.1\r\n", "X-Line: "+strings.Repeat("v", 90)+"\r\n", crowdHead)},
		{"request line without end", repeated("GET /", "x", crowdHead)},
		{"empty lines before a request", repeated("", "\r\n", crowdHead)},
	}
}

// manyNames sends a head of lines with different names.
func manyNames(w io.Writer) error {
	var head strings.Builder
	head.WriteString("GET /many/x HTTP/1.1\r\n")
	for i := 0; head.Len() < crowdHead; i++ {
		fmt.Fprintf(&head, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	_, err := io.WriteString(w, head.String())
	return err
}

// largeBodies are bodies within the limits, of which most stop before their end. head returns the head of
// a request, with further lines that end it.
func largeBodies(head func(lines string) string) []crowdCase {
	body := strings.Repeat("b", crowdBody)
	withHead := func(lines string, send func(w io.Writer) error) func(w io.Writer) error {
		return func(w io.Writer) error {
			if _, err := io.WriteString(w, head(lines)); err != nil {
				return err
			}
			return send(w)
		}
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("c", 64<<10))
	return []crowdCase{
		{"bodies but for the last byte", withHead(sized(crowdBody), inPieces(body[1:], crowdBody))},
		{"bodies in pieces but for the last byte", withHead(sized(crowdBody), inPieces(body[1:], 8<<10))},
		{"whole bodies", withHead(sized(crowdBody), inPieces(body, crowdBody))},
		{"whole bodies in pieces", withHead(sized(crowdBody), inPieces(body, 8<<10))},
		{"large chunks without end", withHead(chunked, repeated("", chunk, 15*len(chunk)))},
		{"whole bodies of large chunks", withHead(chunked, inPieces(strings.Repeat(chunk, 15)+"0\r\n\r\n", len(chunk)))},
		{"chunks of one byte without end", withHead(chunked, repeated("", "1\r\nc\r\n", 6*700_000))},
	}
}

// resourceUsage is the largest use of resources by a process, and samples it until stop is called.
type resourceUsage struct {
	process     *process
	descriptors int
	done        chan struct{}
	stopped     chan struct{}
}

func sampleUsage(p *process) *resourceUsage {
	u := &resourceUsage{process: p, done: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(u.stopped)
		for {
			u.sample()
			select {
			case <-u.done:
				u.sample()
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return u
}

func (u *resourceUsage) sample() {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.process.cmd.Process.Pid))
	if err == nil {
		u.descriptors = max(u.descriptors, len(files))
	}
}

// stop ends the sampling and checks that the process runs and stayed within its memory, in MB, and its
// descriptors.
func (u *resourceUsage) stop(t *testing.T, memoryMB, descriptors int) {
	t.Helper()
	time.Sleep(acceptTime)
	close(u.done)
	<-u.stopped
	select {
	case <-u.process.done:
		t.Fatalf("%s ended: %v", u.process.name, u.process.err)
	default:
	}
	peak := peakMemory(t, u.process)
	t.Logf("%s: at most %d MB and %d descriptors", u.process.name, peak>>20, u.descriptors)
	if checksMemory && peak > memoryMB<<20 {
		t.Errorf("%s took %d MB of memory, %d are permitted", u.process.name, peak>>20, memoryMB)
	}
	if u.descriptors > descriptors {
		t.Errorf("%s had %d descriptors open, %d are permitted", u.process.name, u.descriptors, descriptors)
	}
}

// peakMemory returns the largest resident memory of a process, in bytes.
func peakMemory(t *testing.T, p *process) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			if err != nil {
				t.Fatal(err)
			}
			return kb << 10
		}
	}
	t.Fatal("the status of the process has no VmHWM")
	return 0
}

// crowdGateway starts a gateway with little memory and the given limit of descriptors.
func crowdGateway(t *testing.T, descriptors int, options ...func(*gatewaySystem)) (*gatewaySystem, *gatewayHost) {
	t.Helper()
	limits := func(s *gatewaySystem) { s.memoryMB, s.descriptors = crowdMemoryMB, descriptors }
	s := newGatewaySystem(t, 1, 1, append(options, limits)...)
	s.requireOrdinaryAnswer(s.gateways[0])
	return s, s.gateways[0]
}

// requireOrdinaryAnswer requires that a caller of the gateway that comes back after refusals is answered.
// Each of its requests has a connection of its own.
func (s *gatewaySystem) requireOrdinaryAnswer(h *gatewayHost) {
	s.t.Helper()
	eventually(s.t, "an ordinary request is answered", func() bool {
		s.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		a := s.sendContext(ctx, h, "many", "key-a", "", nil)
		return a.err == nil && a.status == http.StatusOK && strings.HasPrefix(a.body, a.expectedBody())
	})
}

const ampleDescriptors = 4100

func TestCrowdOfEndlessHeads(t *testing.T) {
	for _, c := range endlessHeads() {
		t.Run(c.desc, func(t *testing.T) {
			s, h := crowdGateway(t, ampleDescriptors)
			u := sampleUsage(h.process)
			openCrowd(t, h.callerAddr, headCrowdSize, c.send)
			s.requireOrdinaryAnswer(h)
			u.stop(t, crowdMemoryMB, ampleDescriptors)
		})
	}
}

// Empty lines after a request with a body are skipped by the server library.
func TestCrowdOfEmptyLinesAfterARequest(t *testing.T) {
	s, h := crowdGateway(t, ampleDescriptors)
	u := sampleUsage(h.process)
	openCrowd(t, h.callerAddr, headCrowdSize, func(w io.Writer) error {
		return repeated(gatewayHead("key-a", sized(1))+"b", "\r\n", crowdHead)(w)
	})
	s.requireOrdinaryAnswer(h)
	u.stop(t, crowdMemoryMB, ampleDescriptors)
}

func TestCrowdOfEndlessHeadsAtTheReadyAddress(t *testing.T) {
	for _, c := range endlessHeads() {
		t.Run(c.desc, func(t *testing.T) {
			s, h := crowdGateway(t, ampleDescriptors)
			u := sampleUsage(h.process)
			openCrowd(t, h.readyAddr, headCrowdSize, c.send)
			s.requireOrdinaryAnswer(h)
			eventually(t, "the host states that it is ready", func() bool { return s.isReady(h) })
			u.stop(t, crowdMemoryMB, ampleDescriptors)
		})
	}
}

func TestCrowdOfLargeBodies(t *testing.T) {
	head := func(lines string) string { return gatewayHead("key-a", lines) }
	for _, c := range largeBodies(head) {
		t.Run(c.desc, func(t *testing.T) {
			// Upstreams that answer late make the gateway hold the bodies.
			late := func(s *gatewaySystem) {
				s.prepare = func(up *platformtest.Upstream) { up.TextDelay = 500 * time.Millisecond }
			}
			s, h := crowdGateway(t, ampleDescriptors, late)
			u := sampleUsage(h.process)
			openCrowd(t, h.callerAddr, crowdSize, c.send)
			s.requireOrdinaryAnswer(h)
			u.stop(t, crowdMemoryMB, ampleDescriptors)
		})
	}
}

// A request whose body stops is ended, also one that is refused before its body is read.
func TestBodiesThatStopAreEnded(t *testing.T) {
	for _, key := range []string{"key-a", "unknown"} {
		t.Run(key, func(t *testing.T) {
			s, h := crowdGateway(t, ampleDescriptors)
			c := openCrowd(t, h.callerAddr, 8, inPieces(gatewayHead(key, sized(100))+"half", 1<<10))
			c.awaitEnd(t)
			s.requireOrdinaryAnswer(h)
		})
	}
}

// Requests with a body as large as the document permits are served in calm, one by one.
func TestLargeBodyIsServedInCalm(t *testing.T) {
	is := is.New(t)
	s, h := crowdGateway(t, ampleDescriptors)
	for range 5 {
		a := s.sendBody(h, "many", "key-a", strings.Repeat("b", crowdBody))
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
	}
}
