package peer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// handshakeMethod and unknownMethod are the method names under which handshakes and
	// calls of unregistered methods are counted.
	handshakeMethod = "(handshake)"
	unknownMethod   = "(unknown)"
)

// MethodTraffic counts the frames and bytes of one method. The bytes include each
// frame's length and tag but not the headers of TCP and IP.
type MethodTraffic struct {
	Method   string
	BytesIn  uint64
	BytesOut uint64
	// FramesIn and FramesOut count requests and responses.
	FramesIn  uint64
	FramesOut uint64
}

// Stats is a snapshot of the traffic per method, sorted by method.
type Stats struct {
	Methods []MethodTraffic
}

// traffic counts frames and bytes per method.
type traffic struct {
	mu      sync.Mutex
	methods map[string]*MethodTraffic
}

func newTraffic() *traffic {
	return &traffic{methods: make(map[string]*MethodTraffic)}
}

func (t *traffic) getOrCreate(method string) *MethodTraffic {
	e, ok := t.methods[method]
	if !ok {
		e = &MethodTraffic{Method: method}
		t.methods[method] = e
	}
	return e
}

func (t *traffic) addIn(method string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.getOrCreate(method)
	e.BytesIn += uint64(size)
	e.FramesIn++
}

func (t *traffic) addOut(method string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.getOrCreate(method)
	e.BytesOut += uint64(size)
	e.FramesOut++
}

func (t *traffic) addHandshake(s session) {
	t.addIn(handshakeMethod, s.bytesIn)
	t.addOut(handshakeMethod, s.bytesOut)
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

// trafficMeter counts the frames of one connection by method. pendingMethods maps the ids
// of received requests whose responses haven't been sent yet to their methods. With it,
// trafficMeter determines the method of each response that is sent.
type trafficMeter struct {
	traffic *traffic
	stream  *stream
	// isKnown reports whether a method is registered. All other methods are counted
	// under unknownMethod, so that a peer can't add arbitrary names to the
	// statistics.
	isKnown func(method string) bool

	mu             sync.Mutex
	pendingMethods map[jsonrpc2.ID]string
	// sendingMethod is the method of the message being written; jsonrpc2 writes one
	// message at a time.
	sendingMethod string
}

func newTrafficMeter(t *traffic, s *stream, isKnown func(string) bool) *trafficMeter {
	m := &trafficMeter{traffic: t, stream: s, isKnown: isKnown, pendingMethods: make(map[jsonrpc2.ID]string)}
	s.onWrite = m.onWritten
	return m
}

// connOptions returns the hooks to install on the connection.
func (m *trafficMeter) connOptions() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{jsonrpc2.OnRecv(m.onReceive), jsonrpc2.OnSend(m.onSend)}
}

func (m *trafficMeter) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	method := unknownMethod
	if request != nil && m.isKnown(request.Method) {
		method = request.Method
	}
	if response == nil && request != nil && !request.Notif {
		m.mu.Lock()
		m.pendingMethods[request.ID] = method
		m.mu.Unlock()
	}
	m.traffic.addIn(method, m.stream.lastFrameBytes)
}

func (m *trafficMeter) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request != nil {
		m.sendingMethod = request.Method
		return
	}
	m.sendingMethod = m.pendingMethods[response.ID]
	delete(m.pendingMethods, response.ID)
}

func (m *trafficMeter) onWritten(size int) {
	m.mu.Lock()
	method := m.sendingMethod
	m.mu.Unlock()
	m.traffic.addOut(method, size)
}
