package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A poison request that terminates upstreams at once must be quarantined after a few terminations.
// In an earlier version it terminated nine upstreams: the host sent it to three, one after the
// other, and their terminations within milliseconds counted as one event. Each attempt began after
// the previous upstream had terminated, so each termination must count as an event.
func TestInstantPoisonRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go tg.gateway.guard.Run(ctx)
	ended := make(chan struct{}, 30)
	for i := range 12 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := &http.Server{}
		server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
			_, _ = io.ReadAll(req.Body)
			server.Close()
			ended <- struct{}{}
			panic(http.ErrAbortHandler)
		})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { server.Close() })
		tg.gateway.fleet.ApplyEntry(Upstream{ID: fmt.Sprint("u-", i), Service: "svc", Address: listener.Addr().String(), Zone: "z1", Version: "v1", Slots: 8}, 1)
	}
	for range 6 {
		tg.do(tg.newRequest("POST", "/many/x", "fatal"))
		time.Sleep(1500 * time.Millisecond)
	}
	is.True(len(ended) <= 4)
}
