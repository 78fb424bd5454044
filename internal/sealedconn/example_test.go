package sealedconn_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
)

// A call that could not connect was not sent; a call that received a response was.
func Example() {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = closed.Close()

	transport := sealedconn.NewTransport(time.Second)
	defer transport.CloseIdleConnections()
	for _, url := range []string{"http://" + closed.Addr().String(), server.URL} {
		var call sealedconn.Call
		request, _ := http.NewRequestWithContext(call.Trace(context.Background()), http.MethodGet, url, nil)
		response, err := transport.RoundTrip(request)
		if err == nil {
			_ = response.Body.Close()
		}
		fmt.Println(err == nil, call.Abandon() == sealedconn.NotStarted)
	}
	// Output:
	// false true
	// true false
}
