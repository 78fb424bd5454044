package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/upstream"
)

const (
	// loadReport is the body of a load report.
	loadReport = `{"running":7,"queued":2,"capacity":16,"versions":["small@v1"],"leaving":false,"age_ms":100}`
	// frameText is a frame's data in the usual form.
	frameText = `{"id":"r1","object":"chat.completion.chunk","model":"small@v1","choices":[{"index":0,"delta":{"content":"token "}}]}`
	// tokensWord sets the number of frames in a prompt, as "tokens=N".
	tokensWord = "tokens="
	bareBuffer = 1024
)

// bareEngine answers as an engine does, with as little work as can be, so that
// the processor time of a call is nearly all its client's.
type bareEngine struct {
	pause time.Duration
	// hold ends streams that the prompt asks to hold before their first frame.
	hold chan struct{}
	wire wire
	conn sync.WaitGroup
}

// serve answers on a listener until it is closed.
func (e *bareEngine) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.conn.Go(func() {
			defer conn.Close()
			e.answer(conn)
		})
	}
}

func (e *bareEngine) answer(conn net.Conn) {
	in := bufio.NewReaderSize(conn, bareBuffer)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.Method == http.MethodGet {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(loadReport), loadReport)
		} else {
			err = e.stream(conn, req.Header.Get(upstream.HeaderRequestID), string(body))
		}
		if err != nil {
			return
		}
	}
}

// stream sends the frames one by one, as chunks.
func (e *bareEngine) stream(conn net.Conn, id, body string) error {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		upstream.HeaderModelVersion + ": small@v1\r\n" + upstream.HeaderLoad + ": 7/2/16\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	if strings.Contains(body, "hold") && e.hold != nil {
		<-e.hold
	}
	n := tokensOf(body)
	for i := 1; i <= n+1; i++ {
		data := frameText
		if i > n {
			data = "[DONE]"
		}
		frame := fmt.Sprintf("id: %s:%d\ndata: %s\n\n", id, i, data)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(frame), frame); err != nil {
			return err
		}
		if e.pause > 0 {
			time.Sleep(e.pause)
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

func tokensOf(body string) int {
	_, after, found := strings.Cut(body, tokensWord)
	if !found {
		return 1
	}
	digits, _, _ := strings.Cut(after, " ")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 1
	}
	return n
}

// bareCaller sends requests over one connection and reads the whole answers.
type bareCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialBare(ctx context.Context, addr string) (*bareCaller, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &bareCaller{conn: conn, in: bufio.NewReaderSize(conn, bareBuffer)}, nil
}

// send writes a chat request.
func (c *bareCaller) send(key, prompt string) error {
	body := fmt.Sprintf(`{"model":"small","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	_, err := fmt.Fprintf(c.conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		key, upstream.HeaderRequestID, "r1", len(body), body)
	return err
}

// receive reads the answer and checks that it is whole.
func (c *bareCaller) receive() error {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var last [64]byte
	kept, err := tail(resp.Body, last[:])
	if err != nil {
		return err
	}
	if !strings.Contains(string(kept), "[DONE]") {
		return fmt.Errorf("%w: answer without end: %s %q", ErrMeasure, resp.Status, kept)
	}
	return nil
}

// tail reads to the end and returns the last bytes.
func tail(r io.Reader, last []byte) ([]byte, error) {
	kept := last[:0]
	var buf [4096]byte
	for {
		n, err := r.Read(buf[:])
		if n >= cap(last) {
			kept = append(kept[:0], buf[n-cap(last):n]...)
		} else if n > 0 {
			drop := max(0, len(kept)+n-cap(last))
			kept = append(kept[:0], kept[drop:]...)
			kept = append(kept, buf[:n]...)
		}
		if err == io.EOF {
			return kept, nil
		}
		if err != nil {
			return kept, err
		}
	}
}

func (c *bareCaller) request(key, prompt string) error {
	if err := c.send(key, prompt); err != nil {
		return err
	}
	return c.receive()
}
