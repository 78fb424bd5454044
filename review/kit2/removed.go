package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is drain_ms of the settings. A server whose entry was removed serves for that time and
	// exitDelay longer.
	drainTime = 2 * time.Second
	exitDelay = 100 * time.Millisecond
	// removalInterval is the time between the removals of two servers' entries.
	removalInterval = 100 * time.Millisecond
	// workTime is how long a run takes.
	workTime = 150 * time.Millisecond
	// callerPause is the time between two requests to one host, callerLimit their time limit.
	callerPause = 25 * time.Millisecond
	callerLimit = 1500 * time.Millisecond
	// playTime is the time in which requests are sent.
	playTime = 6 * time.Second
)

// removedRecord is what the servers of playRemoved saw.
type removedRecord struct {
	mu sync.Mutex
	// removedAt is when the store accepted the removal of a server's entry.
	removedAt map[string]time.Time
	late      int
	cut       int
}

// playRemoved takes all servers of a service away. None of them reports that it is draining: the entries are
// removed, and the servers go on for drainTime and a little longer. It reports whether a request reached a server
// later than drainTime after the removal.
func playRemoved(w *world, trouble bool) (broken bool, err error) {
	r := removedRecord{removedAt: make(map[string]time.Time)}
	var servers []*server
	for i, zone := range zones {
		s, err := w.addServer(fmt.Sprintf("i-%d", i+1), zone, func(s *server, conn net.Conn, req *http.Request, _ []byte) bool {
			return r.serve(w, s, conn, req)
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := w.addHosts(); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	for _, h := range w.hosts {
		callers.Go(func() { r.call(w, h) })
	}
	time.Sleep(time.Second)
	for _, s := range servers {
		if trouble {
			r.remove(w, s)
		}
		time.Sleep(removalInterval)
	}
	callers.Wait()
	w.note("%d requests reached a server too late, the runs of %d requests ended with their server", r.late, r.cut)
	return r.late > 0, nil
}

// remove removes the server's entry and ends the server when it is due.
func (r *removedRecord) remove(w *world, s *server) {
	w.store.Remove("servers", s.id)
	r.mu.Lock()
	r.removedAt[s.id] = time.Now()
	r.mu.Unlock()
	w.note("%s: the store accepted the removal of the entry", s.id)
	time.AfterFunc(drainTime+exitDelay, func() {
		s.exit()
		w.note("%s: exits", s.id)
	})
}

func (r *removedRecord) serve(w *world, s *server, conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	r.mu.Lock()
	if at, ok := r.removedAt[s.id]; ok && time.Since(at) > drainTime {
		r.late++
		w.note("%s: request %s reaches it %v after the removal", s.id, id, time.Since(at).Round(time.Millisecond))
	}
	r.mu.Unlock()
	time.Sleep(workTime)
	if s.answerRun(conn, id, "200 OK", "confirmed") {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut++
	w.note("%s: the server ended while it ran request %s", s.id, id)
	return false
}

// call sends requests to one host.
func (r *removedRecord) call(w *world, h *host) {
	var pending sync.WaitGroup
	for n, end := 0, time.Now().Add(playTime); time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%d", h.name, n)
		pending.Go(func() {
			if a := confirm(h, id, "order", callerLimit); a.status != http.StatusOK {
				w.note("client: request %s: %v", id, a)
			}
		})
		time.Sleep(callerPause)
	}
	pending.Wait()
}
