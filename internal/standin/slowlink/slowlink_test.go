package slowlink_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/slowlink"
)

func TestRateAndContent(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	sent := bytes.Repeat([]byte("0123456789"), 2000)
	writeErr := make(chan error, 1)
	go func() {
		conn, err := slowlink.Listener{Listener: inner, Rate: 200_000}.Accept()
		if err == nil {
			_, err = conn.Write(sent)
			conn.Close()
		}
		writeErr <- err
	}()
	start := time.Now()
	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.NoErr(<-writeErr)
	is.Equal(got, sent)
	is.True(time.Since(start) >= 90*time.Millisecond) // 20 kB; never faster
}
