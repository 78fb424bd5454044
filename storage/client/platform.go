package client

import (
	"strings"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/storage"
)

// maxHeaderBytes bounds the headers of a response.
const maxHeaderBytes = 16 << 10

// Platform holds the connections to one platform. It is safe for concurrent
// use.
type Platform struct {
	baseURL   string
	options   Options
	transport *sealedconn.Transport
	hosts     *hostList
	// instanceID and callCount form the IDs of calls in protocol.HeaderCall.
	instanceID string
	callCount  atomic.Uint64
}

// New returns a client of the platform at baseURL, such as
// "http://127.0.0.1:7000". Nothing is sent before the first call; with an invalid
// URL each call fails without effect.
func New(baseURL string, options Options) *Platform {
	options = options.withDefaults()
	p := &Platform{
		baseURL:    strings.TrimSuffix(baseURL, "/"),
		options:    options,
		transport:  newTransport(options),
		instanceID: uuid.NewString(),
	}
	p.hosts = newHostList(p)
	return p
}

// Table returns the table.
func (p *Platform) Table() storage.Table { return table{p} }

// Objects returns the object store.
func (p *Platform) Objects() storage.Objects { return objects{p} }

// Hosts returns the host list. Its calls run one at a time, because each fetches
// only the changes since the one before.
func (p *Platform) Hosts() storage.HostList { return p.hosts }

// Rater returns the rater.
func (p *Platform) Rater() storage.Rater { return rater{p} }

// Close closes the idle connections. It doesn't interrupt calls in progress.
func (p *Platform) Close() {
	p.transport.CloseIdleConnections()
}

// newTransport returns an HTTP/1.1 transport whose connections report their
// writes to the sealedconn.Call of the request.
func newTransport(options Options) *sealedconn.Transport {
	transport := sealedconn.NewTransport(options.DialTimeout)
	transport.TLSHandshakeTimeout = options.DialTimeout
	transport.MaxConnsPerHost = options.MaxConnections
	transport.MaxIdleConnsPerHost = options.MaxIdle
	transport.IdleConnTimeout = options.IdleTimeout
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return transport
}
