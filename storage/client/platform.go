package client

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/storage"
)

// maxHeaderBytes bounds the headers of an answer.
const maxHeaderBytes = 16 << 10

// Platform holds the connections to one platform. It is safe for concurrent
// use.
type Platform struct {
	baseURL   string
	options   Options
	transport *http.Transport
	hosts     *hostList
	// instance and calls make up the numbers of calls.
	instance string
	calls    atomic.Uint64
}

// New returns a Platform at baseURL, such as "http://127.0.0.1:7000". Nothing
// is sent before the first call; a bad URL makes each call fail without effect.
func New(baseURL string, options Options) *Platform {
	options = options.withDefaults()
	p := &Platform{
		baseURL:   strings.TrimSuffix(baseURL, "/"),
		options:   options,
		transport: newTransport(options),
		instance:  uuid.NewString(),
	}
	p.hosts = newHostList(p)
	return p
}

// Table returns the table.
func (p *Platform) Table() storage.Table { return table{p} }

// Objects returns the object store.
func (p *Platform) Objects() storage.Objects { return objects{p} }

// Hosts returns the host list. Its calls wait for one another, as each fetches
// only what has changed since the one before.
func (p *Platform) Hosts() storage.HostList { return p.hosts }

// Rater returns the rater.
func (p *Platform) Rater() storage.Rater { return rater{p} }

// Close closes the idle connections. Calls under way aren't cut.
func (p *Platform) Close() {
	p.transport.CloseIdleConnections()
}

// newTransport returns an HTTP/1.1 transport that tells sealedconn's calls
// what it writes.
func newTransport(options Options) *http.Transport {
	transport := sealedconn.NewTransport(options.DialTimeout)
	transport.TLSHandshakeTimeout = options.DialTimeout
	transport.MaxConnsPerHost = options.MaxConnections
	transport.MaxIdleConnsPerHost = options.MaxIdle
	transport.IdleConnTimeout = options.IdleTimeout
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return transport
}
