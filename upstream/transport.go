package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Defaults of the options of both clients.
const (
	DefaultDialTimeout = 2 * time.Second
	// DefaultIdleConnTimeout is below the usual keep-alive time of servers, so
	// that this side closes a pooled connection first.
	DefaultIdleConnTimeout     = 20 * time.Second
	DefaultMaxIdleConnsPerHost = 128
	maxIdleConns               = 8192
	maxHeaderBytes             = 64 << 10
)

// newTransport returns an HTTP/1.1 transport whose connections are tracked.
// It uses no proxy from the environment and no compression of its own.
func newTransport(dialTimeout, idleConnTimeout time.Duration, idlePerHost int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
