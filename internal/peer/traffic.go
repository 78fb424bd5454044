package peer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// handshakeMethod and unknownMethod count traffic outside known methods.
	handshakeMethod = "(handshake)"
	unknownMethod   = "(unknown)"
)

// MethodTraffic is what one method has sent and received, in bytes of frames;
// the headers of TCP and IP aren't in it.
type MethodTraffic struct {
	Method   string
	BytesIn  uint64
	BytesOut uint64
	// FramesIn and FramesOut count requests and answers alike.
	FramesIn  uint64
	FramesOut uint64
}

// Stats is a snapshot of the traffic by method, in the methods' order.
type Stats struct {
	Methods []MethodTraffic
}

// traffic counts bytes by method.
type traffic struct {
	mu      sync.Mutex
	methods map[string]*MethodTraffic
}

func newTraffic() *traffic {
	return &traffic{methods: make(map[string]*MethodTraffic)}
}

func (t *traffic) entry(method string) *MethodTraffic {
	e, ok := t.methods[method]
	if !ok {
		e = &MethodTraffic{Method: method}
		t.methods[method] = e
	}
	return e
}

func (t *traffic) in(method string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(method)
	e.BytesIn += uint64(size)
	e.FramesIn++
}

func (t *traffic) out(method string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(method)
	e.BytesOut += uint64(size)
	e.FramesOut++
}

func (t *traffic) handshake(s session) {
	t.in(handshakeMethod, s.bytesIn)
	t.out(handshakeMethod, s.bytesOut)
}

func (t *traffic) snapshot() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s Stats
	for _, e := range t.methods {
		s.Methods = append(s.Methods, *e)
	}
	slices.SortFunc(s.Methods, func(a, b MethodTraffic) int { return cmp.Compare(a.Method, b.Method) })
	return s
}

// meter assigns the frames of one connection to methods. An answer's method
// is known by its request's id.
type meter struct {
	traffic *traffic
	stream  *stream
	// known bounds the method names that a peer can make up.
	known func(method string) bool

	mu   sync.Mutex
	open map[jsonrpc2.ID]string
	// sending is the method of the message being written; jsonrpc2 writes one
	// message at a time.
	sending string
}

func newMeter(t *traffic, s *stream, known func(string) bool) *meter {
	m := &meter{traffic: t, stream: s, known: known, open: make(map[jsonrpc2.ID]string)}
	s.onWrite = m.written
	return m
}

// options are the hooks to install on the connection.
func (m *meter) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{jsonrpc2.OnRecv(m.onReceive), jsonrpc2.OnSend(m.onSend)}
}

func (m *meter) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	method := unknownMethod
	if request != nil && m.known(request.Method) {
		method = request.Method
	}
	if response == nil && request != nil && !request.Notif {
		m.mu.Lock()
		m.open[request.ID] = method
		m.mu.Unlock()
	}
	m.traffic.in(method, m.stream.received)
}

func (m *meter) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request != nil {
		m.sending = request.Method
		return
	}
	m.sending = m.open[response.ID]
	delete(m.open, response.ID)
}

func (m *meter) written(size int) {
	m.mu.Lock()
	method := m.sending
	m.mu.Unlock()
	m.traffic.out(method, size)
}
