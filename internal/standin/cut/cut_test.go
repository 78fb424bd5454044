package cut

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestCutBeforeHead(t *testing.T) {
	tests := []struct {
		desc  string
		parts []string
		want  string
	}{
		{"cut", []string{"POST /bids HTTP/1.1\r\n"}, ""},
		{"first byte alone", []string{"P", "OST /bids HTTP/1.1\r\n"}, "P"},
		{"spared", []string{"POST /faults HTTP/1.1\r\n"}, "POST /faults HTTP/1.1\r\n"},
		{"within a body", []string{"lot 17"}, "lot 17"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			cutter := new(Cutter)
			cutter.Set(Plan{At: BeforeHead, Times: 1})
			clientConn, serverConn := net.Pipe()
			conn := &headConn{Conn: serverConn, listener: &headListener{Cutter: cutter, UncutPrefixes: [][]byte{[]byte("POST /faults")}}}
			go func() {
				defer clientConn.Close()
				for _, part := range test.parts {
					_, _ = io.WriteString(clientConn, part)
				}
			}()
			got, err := io.ReadAll(conn)
			is.NoErr(err)
			is.Equal(string(got), test.want)
		})
	}
}

func ExampleCutter() {
	var c Cutter
	c.Set(Plan{At: MidBody, Times: 1})
	fmt.Println(c.Take(AfterHead), c.Take(MidBody), c.Take(MidBody))
	// Output: false true false
}

func TestLimits(t *testing.T) {
	is := is.New(t)
	clientConn, serverConn := net.Pipe()
	listener := new(LimitListener)
	conn := &limitConn{Conn: serverConn, listener: listener, remaining: Limits{Request: 3, Answer: 2}}
	go func() {
		_, _ = io.WriteString(clientConn, "abcd")
	}()
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(got), "abc")

	clientConn, serverConn = net.Pipe()
	conn = &limitConn{Conn: serverConn, listener: listener, remaining: Limits{Request: Unlimited, Answer: 2}}
	go func() {
		n, err := conn.Write([]byte("xyz"))
		is.Equal(n, 2)
		is.Equal(err, net.ErrClosed)
	}()
	got, err = io.ReadAll(clientConn)
	is.NoErr(err)
	is.Equal(string(got), "xy")
	requestBytes, answerBytes := listener.BytesPassed()
	is.Equal(requestBytes, int64(3))
	is.Equal(answerBytes, int64(2))
}
