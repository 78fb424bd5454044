package sealedconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
)

// Transport is an HTTP/1.1 transport whose writes a Call can track. Its responses are valid, and their bodies end with
// io.EOF only if they are complete (package responsecheck).
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport that ignores proxy settings of the environment and doesn't request compression. The
// caller sets the limits of the connection pool and of the header size.
func NewTransport(dialTimeout time.Duration) *Transport {
	return NewTransportWith(DetectResets(NewDialer(dialTimeout).DialContext))
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransportWith is like NewTransport, with connections that dial opens. Their reads must return io.EOF only if the
// peer closed the connection in order, as those of DetectResets do.
func NewTransportWith(dial DialFunc) *Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		Protocols:          protocols,
		DisableCompression: true,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := responsecheck.CheckHead(resp.ProtoMajor, resp.StatusCode, resp.Header); err != nil {
		resp.Body.Close()
		abandon(req)
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &checkedBody{ReadCloser: resp.Body, response: resp}
	}
	return resp, nil
}

// abandon closes the connection of the request's call, on which no further response can be relied on.
func abandon(req *http.Request) {
	if call, ok := req.Context().Value(callKey{}).(*Call); ok {
		call.Abandon()
	}
}

// checkedBody is the body of a response. Its end is checked.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.endOfBody()
	}
	return n, err
}

// endOfBody returns io.EOF if the response is complete.
func (b *checkedBody) endOfBody() error {
	resp := b.response
	if err := responsecheck.CheckFieldNames(resp.Trailer); err != nil {
		abandon(resp.Request)
		return err
	}
	end := responsecheck.End{Status: resp.StatusCode, EndsWithConnection: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0}
	if end.NeedsWholeRequest() {
		call, _ := resp.Request.Context().Value(callKey{}).(*Call)
		end.RequestWritten = call == nil || call.wroteWhole()
	}
	return end.Check()
}
