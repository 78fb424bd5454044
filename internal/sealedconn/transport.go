package sealedconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// NewTransport returns an HTTP/1.1 transport whose writes a Call can track. It
// ignores proxy settings of the environment and doesn't request compression. The
// caller sets the limits of the connection pool and of the header size.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	return NewTransportWith(NewDialer(dialTimeout).DialContext)
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransportWith is like NewTransport, with connections that dial opens.
func NewTransportWith(dial DialFunc) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		Protocols:          protocols,
		DisableCompression: true,
	}
}
