package sealedconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// NewTransport returns an HTTP/1.1 transport whose writes a Call can follow. It
// uses no proxy from the environment and no compression of its own; pool and
// header limits are the caller's to set.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	dialer := newDialer(dialTimeout)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &followedConn{Conn: conn}, nil
		},
		Protocols:          protocols,
		DisableCompression: true,
	}
}
