package main

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// greyTime is how long one of the servers fails requests. failedPercent is the part that fails.
	greyTime      = 6500 * time.Millisecond
	failedPercent = 45
)

// promises are the statuses that promise that a request hasn't run and never will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// unmarkedRecord is what the servers and clients of playUnmarked saw.
type unmarkedRecord struct {
	mu        sync.Mutex
	greyUntil time.Time
	// attempts holds the requests that ran, orders how often each order ran.
	attempts map[string]bool
	orders   map[string]int
	untrue   int
}

// playUnmarked lets one of three servers fail some requests after they ran, with status 503 and without
// X-Not-Executed. It reports whether a client was told that a request hasn't run although it had.
func playUnmarked(w *world, trouble bool) (broken bool, err error) {
	r := unmarkedRecord{attempts: make(map[string]bool), orders: make(map[string]int)}
	for i, zone := range zones {
		fails := i == 0
		if _, err := w.addServer(fmt.Sprintf("i-%d", i+1), zone, func(s *server, conn net.Conn, req *http.Request, body []byte) bool {
			return r.serve(w, s, conn, req.Header.Get("X-Attempt-Id"), string(body), fails)
		}); err != nil {
			return false, err
		}
	}
	if err := w.addHosts(); err != nil {
		return false, err
	}
	if trouble {
		r.greyUntil = time.Now().Add(greyTime)
	}
	var callers sync.WaitGroup
	for _, h := range w.hosts {
		callers.Go(func() { r.call(w, h) })
	}
	callers.Wait()
	doubled := 0
	for order, runs := range r.orders {
		if runs > 1 {
			doubled++
			w.note("order %s ran %d times", order, runs)
		}
	}
	w.note("%d requests were refused as not run although they had run, %d orders ran twice", r.untrue, doubled)
	return r.untrue > 0, nil
}

// serve runs a request and answers it. A grey server fails a part of the requests once they have run.
func (r *unmarkedRecord) serve(w *world, s *server, conn net.Conn, id, order string, fails bool) bool {
	time.Sleep(workTime)
	hash := fnv.New32a()
	hash.Write([]byte(id))
	r.mu.Lock()
	r.attempts[id] = true
	r.orders[order]++
	failed := fails && time.Now().Before(r.greyUntil) && hash.Sum32()%100 < failedPercent
	r.mu.Unlock()
	if !failed {
		return s.answerRun(conn, id, "200 OK", "confirmed")
	}
	w.note("%s: request %s has run and fails, status 503 without X-Not-Executed", s.id, id)
	return s.answerRun(conn, id, "503 Service Unavailable", "confirmed, but the ledger is unavailable")
}

// call sends orders to one host. As clients do, it sends an order once more, to another host and with an id of its
// own, if the answer promises that it hasn't run.
func (r *unmarkedRecord) call(w *world, h *host) {
	var pending sync.WaitGroup
	for n, end := 0, time.Now().Add(greyTime); time.Now().Before(end); n++ {
		order := fmt.Sprintf("%s-%d", h.name, n)
		pending.Go(func() {
			if !r.confirm(w, h, order+"-first", order) {
				next := w.hosts[(slices.Index(w.hosts, h)+1)%len(w.hosts)]
				r.confirm(w, next, order+"-second", order)
			}
		})
		time.Sleep(2 * callerPause)
	}
	pending.Wait()
}

// confirm sends one attempt. It returns false if the answer promises that it hasn't run.
func (r *unmarkedRecord) confirm(w *world, h *host, id, order string) bool {
	a := confirm(h, id, order, callerLimit)
	if !slices.Contains(promises, a.status) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[id] {
		r.untrue++
		w.note("client: request %s: %v, although it has run", id, a)
	}
	return false
}
