package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// startClients starts the clients: sessions, whose requests follow each other, and requests of their own.
func startClients(ctx context.Context, hosts []*host, rec *recorder) *sync.WaitGroup {
	var done sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: 5 * time.Second}
	for i := range sessions {
		done.Go(func() {
			session := fmt.Sprintf("session-%d-%s", i, randomID())
			for ctx.Err() == nil {
				send(client, hosts, rec, session)
				pause(ctx, sessionPause)
			}
		})
	}
	done.Go(func() {
		var single sync.WaitGroup
		defer single.Wait()
		for ctx.Err() == nil {
			single.Go(func() { send(client, hosts, rec, "") })
			pause(ctx, time.Second/otherPerSecond)
		}
	})
	return &done
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// send sends one request to a host drawn at random, and waits for the answer.
func send(client *http.Client, hosts []*host, rec *recorder, session string) {
	h, id := hosts[rand.IntN(len(hosts))], randomID()
	req, err := http.NewRequest(http.MethodPost, "http://"+h.caller+requestPath, strings.NewReader("confirm"))
	if err != nil {
		panic(err) // the URL is valid
	}
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("X-Deadline-Ms", "4000")
	if session != "" {
		req.Header.Set("Session", session)
	}
	rec.sent(id, session, h.name)
	status := 0
	resp, err := client.Do(req)
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	rec.answered(id, status)
}

// request is what is known of one client attempt.
type request struct {
	id, session, host       string
	sentAt, ranAt, answerAt time.Duration
	version, server         string
	runs, status            int
	failed                  bool
}

// orderGiven is an order of the operator.
type orderGiven struct {
	version string
	good    bool
	at      time.Duration
}

// recorder records what was sent, run and answered.
type recorder struct {
	start time.Time

	mu       sync.Mutex
	requests map[string]*request
	orders   []orderGiven
	// endState is the state in which the first roll-out ended, and endedAt when it was in the store.
	endState string
	endedAt  time.Duration
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), requests: make(map[string]*request)}
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) order(version string, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, orderGiven{version, good, r.now()})
}

func (r *recorder) ended(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endState, r.endedAt = state, r.now()
}

func (r *recorder) sent(id, session, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = &request{id: id, session: session, host: host, sentAt: r.now()}
}

func (r *recorder) ran(id, version, server string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.runs++
		q.version, q.server, q.failed, q.ranAt = version, server, failed, r.now()
	}
}

func (r *recorder) answered(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	q.status, q.answerAt = status, r.now()
}

// isPinnedBreach reports whether a request that ran on another version than the one before it in its
// session breaks rule PINNED: on the new version in the first half of its roll-out, or on an older one
// though the new one is good and isn't rolled back.
func (r *recorder) isPinnedBreach(q *request) bool {
	var newest *orderGiven
	for i := range r.orders {
		if r.orders[i].at <= q.sentAt {
			newest = &r.orders[i]
		}
	}
	switch {
	case newest == nil:
		return false
	case q.version == newest.version:
		return q.ranAt-newest.at < rolloutS*time.Second/2
	default:
		return newest.good
	}
}

// judgePinned counts the breaches of rule PINNED; more than three break it.
func (r *recorder) judgePinned() (broken bool, summary string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := make(map[string]*request)
	breaches, late, lateFailed := 0, 0, 0
	for _, q := range r.sorted() {
		if q.runs == 0 {
			continue
		}
		if q.version == "v2" && len(r.orders) > 1 && q.sentAt > r.orders[1].at {
			late++
			if q.failed {
				lateFailed++
			}
		}
		if q.session == "" {
			continue
		}
		before := last[q.session]
		last[q.session] = q
		if before != nil && before.version != q.version && q.sentAt-before.answerAt < sessionS && r.isPinnedBreach(q) {
			breaches++
		}
	}
	return breaches > 3, fmt.Sprintf("PINNED: %d requests ran on another version than the one before them in their session (3 permitted); "+
		"%d requests sent after the second order ran on the version that was rolled back before, %d of them failed", breaches, late, lateFailed)
}

// badAnswersForStop is the number of bad answers after which, and rollbackTime later, a bad version must
// get no more requests.
const badAnswersForStop = 50

// judgeExposure reports whether the bad version got more than its share of the requests until the time
// limit, or a request that was sent too long after its 50th bad answer.
func (r *recorder) judgeExposure() (broken bool, summary string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.orders[0]
	if first.good {
		return false, fmt.Sprintf("EXPOSURE: the version is sound; its roll-out ended as %q", r.endState)
	}
	var badAt []time.Duration
	for _, q := range r.requests {
		if q.version == first.version && q.failed {
			badAt = append(badAt, q.answerAt)
		}
	}
	slices.Sort(badAt)
	all, exposed, late, lateFailed := 0, 0, 0, 0
	for _, q := range r.requests {
		if q.runs == 0 {
			continue
		}
		bad := q.version == first.version
		if q.ranAt > first.at && q.ranAt < first.at+rolloutS*time.Second {
			all++
			if bad {
				exposed++
			}
		}
		if bad && len(badAt) >= badAnswersForStop && q.sentAt > badAt[badAnswersForStop-1]+rollbackTime {
			late++
			if q.failed {
				lateFailed++
			}
		}
	}
	permitted := canaryShare*float64(all) + canaryHeadroom
	return late > 0 || float64(exposed) > permitted, fmt.Sprintf("EXPOSURE: the roll-out ended as %q; the bad version got %d of %d requests until the time limit (%.0f permitted), "+
		"and %d requests sent more than 5 s after its 50th bad answer (none permitted), %d of which failed", r.endState, exposed, all, permitted, late, lateFailed)
}

func (r *recorder) sorted() []*request {
	var list []*request
	for _, q := range r.requests {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.sentAt, b.sentAt) })
	return list
}

// write writes the record.
func (r *recorder) write(path, summary string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := bufio.NewWriter(file)
	fmt.Fprintln(out, summary)
	for _, o := range r.orders {
		fmt.Fprintf(out, "%8.3f s  order of %s, good: %t\n", o.at.Seconds(), o.version, o.good)
	}
	fmt.Fprintf(out, "%8.3f s  %s is in the store\n", r.endedAt.Seconds(), r.endState)
	for _, q := range r.sorted() {
		fmt.Fprintf(out, "%8.3f s  %s to %s session %q runs %d on %s (%s) at %.3f failed %t; answer %d at %.3f\n",
			q.sentAt.Seconds(), q.id, q.host, q.session, q.runs, q.version, q.server, q.ranAt.Seconds(), q.failed, q.status, q.answerAt.Seconds())
	}
	return out.Flush()
}
