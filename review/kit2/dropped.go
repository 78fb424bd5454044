package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	adviceService = "advice"
	smallModel    = "daka510000"
	largeModel    = "ravo486f6a"
	// adviceEvents is the number of events of a stream, adviceGap the time before each.
	adviceEvents = 6
	adviceGap    = 40 * time.Millisecond
	// adviceTime is how long the clients send, advicePause the time between a client's requests.
	adviceTime  = 6 * time.Second
	advicePause = 100 * time.Millisecond
	adviceLimit = 8 * time.Second
)

// confidences are what a model states of its answer to a hard request, and to any other.
var confidences = map[string]struct{ hard, easy int }{
	smallModel: {hard: 8, easy: 96},
	largeModel: {hard: 92, easy: 98},
}

// droppedRecord is what the servers and clients of playDropped saw.
type droppedRecord struct {
	hard bool

	mu sync.Mutex
	// runs holds the servers that ran a request, by its id.
	runs     map[string][]string
	complete int
	failed   int
}

// playDropped sends streams that can't be resumed on a route that leaves the choice of the model to the host. With
// trouble the requests are hard for the small model, and it says so. playDropped reports whether a request ran more
// than once.
func playDropped(w *world, trouble bool) (broken bool, err error) {
	r := droppedRecord{hard: trouble, runs: make(map[string][]string)}
	w.put("op", "config", adviceConfig())
	for i, model := range []string{smallModel, largeModel} {
		for j, zone := range zones {
			err := w.addModelServer(fmt.Sprintf("i-%d", 1+i*len(zones)+j), zone, model, func(s *server, conn net.Conn, req *http.Request, _ []byte) bool {
				return r.serve(w, s, conn, req, model)
			})
			if err != nil {
				return false, err
			}
		}
	}
	if err := w.addHosts(); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	for _, h := range w.hosts {
		callers.Go(func() { r.call(w, h) })
	}
	callers.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	repeated := 0
	for id, servers := range r.runs {
		if len(servers) > 1 {
			repeated++
			w.note("request %s ran %d times: %s", id, len(servers), strings.Join(servers, ", "))
		}
	}
	w.note("%d requests ran, %d of them more than once; the clients got %d complete streams and %d other answers", len(r.runs), repeated, r.complete, r.failed)
	return repeated > 0, nil
}

// addModelServer starts a server that has one model.
func (w *world) addModelServer(id, zone, model string, run func(*server, net.Conn, *http.Request, []byte) bool) error {
	s, err := w.listen(id, zone, run)
	if err != nil {
		return err
	}
	w.put("servers", id, map[string]any{
		"service": adviceService, "address": s.address, "zone": zone, "version": "v1", "slots": serverSlots, "state": "available",
		"cold_remaining_ms": 0, "phase": "combined", "sequence": 1,
		"model_list": []map[string]any{{"name": model, "version": 1, "adapter_list": []string{}}},
	})
	return nil
}

// serve runs a request: it states the model's confidence and streams the events while the channel stays open.
func (r *droppedRecord) serve(w *world, s *server, conn net.Conn, req *http.Request, model string) bool {
	id := req.Header.Get("X-Attempt-Id")
	if strings.HasPrefix(req.URL.Path, "/-/") {
		return s.serveState(conn, req, model)
	}
	if named := req.Header.Get("X-Model"); named != model {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
		return err == nil
	}
	confidence := confidences[model].easy
	if r.hard {
		confidence = confidences[model].hard
	}
	// The head is sent with the first event, at which a run begins.
	time.Sleep(adviceGap)
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], s.id)
	r.mu.Unlock()
	w.note("%s (%s): request %s runs, confidence %d", s.id, model, id, confidence)
	part := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nX-Confidence: %d\r\n\r\n", id, s.id, id, confidence)
	for n := 1; n <= adviceEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, s.id, n)
		part += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if _, err := io.WriteString(conn, part); err != nil {
			w.note("%s: request %s: its channel was closed before event %d", s.id, id, n)
			return false
		}
		part = ""
		time.Sleep(adviceGap)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// maxStateWait bounds how long a call for cache events is kept waiting.
const maxStateWait = time.Second

// serveState answers calls that aren't a client's requests. The server's cache is empty.
func (s *server) serveState(conn net.Conn, req *http.Request, model string) bool {
	status, body := "200 OK", ""
	switch req.URL.Path {
	case "/-/report":
		body = fmt.Sprintf(`{"phase":"combined","model_list":[{"name":%q,"version":1,"adapter_list":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_in_use":0,"kv_limit":592732,"kv_handles":0}`, model)
	case "/-/kv-events":
		wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms")) // 0 if absent
		time.Sleep(min(maxStateWait, time.Duration(wait)*time.Millisecond))
		body = `{"epoch":1,"next":0,"lost":false,"events":[]}`
	case "/-/kv-list":
		body = `{"epoch":1,"next":0,"held":[]}`
	case "/-/hold-take":
		status = "503 Service Unavailable"
	default:
		status = "404 Not Found"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err == nil
}

// call sends requests to one host. None is sent twice.
func (r *droppedRecord) call(w *world, h *host) {
	var pending sync.WaitGroup
	for n, end := 0, time.Now().Add(adviceTime); time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%d", h.name, n)
		pending.Go(func() {
			complete, text := advise(h, id)
			w.note("client: request %s: %s", id, text)
			r.mu.Lock()
			defer r.mu.Unlock()
			if complete {
				r.complete++
			} else {
				r.failed++
			}
		})
		time.Sleep(advicePause)
	}
	pending.Wait()
}

// advise sends a request for a stream, on a channel of its own, and reads the stream.
func advise(h *host, id string) (complete bool, text string) {
	conn, err := net.DialTimeout("tcp", h.frontend, time.Second)
	if err != nil {
		return false, err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(adviceLimit))
	body := `{"part":"` + id + `"}`
	if _, err := fmt.Fprintf(conn, "POST /advice/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\nX-Model: *\r\nX-Token-Count: 400,60\r\nX-Prefix-Hash: 5c1e07a2:300,%x:100\r\nContent-Length: %d\r\n\r\n%s",
		hostName, id, accountKey, adviceLimit.Milliseconds(), id, len(body), body); err != nil {
		return false, err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	events := strings.Count(string(data), "\n\n")
	return err == nil && resp.StatusCode == http.StatusOK && events == adviceEvents,
		fmt.Sprintf("status %d, stamp %q, confidence %q, %d events, error %v", resp.StatusCode, resp.Header.Get("X-Server-Stamp"), resp.Header.Get("X-Confidence"), events, err)
}

// adviceConfig returns a config like that of a small deployment, with one route whose streams can't be resumed.
func adviceConfig() map[string]any {
	c := config()
	c["version"] = 5
	c["routes"] = []map[string]any{{
		"name": "r-advice", "hostname": hostName, "prefix": "/advice/", "route_type": "streaming", "timeout_ms": 8000,
		"target_latency_ms": 1500, "priority": 1, "size_list": []string{smallModel, largeModel}, "service": adviceService,
		"max_attempts": 3, "public": false, "session_affinity": true, "stream_resume": false, "inter_token_ms": 800,
	}}
	c["services"] = []map[string]any{{
		"name": adviceService, "health_path": healthPath, "max_connections": 360, "protocol": "h1", "tls": false,
		"runtime": map[string]any{
			"slots": serverSlots, "kv_capacity": 592732, "kv_bytes": 18432, "link_mbps": 280000.0, "migrations": false, "replicas": false,
			"interval": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
			"model_list": []map[string]any{{"name": smallModel, "price": 0.018}, {"name": largeModel, "price": 0.27}},
		},
	}}
	return c
}
