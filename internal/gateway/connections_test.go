package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// While most new connections of all callers arrive at a host that can't serve them, it must close them before it
// reads from them, and not report itself ready, so that the load balancer chooses another host.
func TestHostRejectsASurgeOfConnections(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var c callerConnections
	listener := &callerListener{Listener: inner, connections: &c, log: zerolog.Nop()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })}
	go server.Serve(listener)
	defer server.Close()
	get := func() error {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + inner.Addr().String())
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	is.NoErr(get())
	c.mu.Lock()
	c.filter.SetLag(time.Second)
	c.mu.Unlock()
	failed := 0
	for range 60 {
		if get() != nil {
			failed++
		}
	}
	is.True(failed > 30)
	is.Equal(c.rejected.Load(), int64(failed))
	is.True(c.rejecting())
	c.mu.Lock()
	c.filter.SetLag(0)
	c.mu.Unlock()
	is.NoErr(get())
}
