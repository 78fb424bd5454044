package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// attempt is one attempt of a client library to send a request with a key.
type attempt struct {
	key  string
	host string
	// runsBefore is the number of runs with the key before the attempt was sent.
	runsBefore int
	// complete is true if the attempt got a complete answer; otherwise the
	// fields below are empty.
	complete  bool
	requestID string
	status    int
	code      resultcode.Code
	runState  string
	// hasRetryAfter is true if the answer has a Retry-After header.
	hasRetryAfter bool
	body          string
}

// definite reports whether the client library stops repeating the request after
// this attempt.
func (a attempt) definite() bool {
	return a.complete && (a.code == resultcode.OK || a.code == resultcode.EarlierOutcomeUnknown)
}

// attemptLog collects attempts. It is safe for concurrent use.
type attemptLog struct {
	mu   sync.Mutex
	list []attempt
}

func (l *attemptLog) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

func (l *attemptLog) all() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attempt(nil), l.list...)
}

// bidder sends bids like a client library does: it repeats each with the same
// key on other hosts until it gets a definite answer.
type bidder struct {
	s     *system
	hosts *fleet
	log   *attemptLog
	wait  sync.WaitGroup
}

const (
	// bidDeadline is the deadline in a bid's header. bidTimeout is the time after
	// which the client ends the attempt; it is a little longer.
	bidDeadline = 3 * time.Second
	bidTimeout  = bidDeadline + 500*time.Millisecond
	// retryInterval is the pause between two attempts of a client.
	retryInterval = 150 * time.Millisecond
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 150
)

func newBidder(s *system) *bidder {
	return &bidder{s: s, hosts: &fleet{hosts: append([]*entryHost(nil), s.hosts...)}, log: &attemptLog{}}
}

// start sends n bids whose keys begin with name. Every third one is sent twice
// concurrently, to different hosts.
func (b *bidder) start(name string, n int) {
	for i := range n {
		key := fmt.Sprintf("%s-%d", name, i)
		b.wait.Go(func() { b.sendUntilDefinite(key, i) })
		if i%3 == 0 {
			b.wait.Go(func() { b.sendUntilDefinite(key, i+1) })
		}
	}
}

// bodyOf returns the body of the bid with the key.
func (b *bidder) bodyOf(key string) string { return fmt.Sprintf(`{"bid":%q}`, key) }

func (b *bidder) sendUntilDefinite(key string, firstHost int) {
	for try := range maxAttempts {
		hosts := b.hosts.list()
		a := b.sendOnce(key, hosts[(firstHost+try)%len(hosts)])
		b.log.add(a)
		if a.definite() {
			return
		}
		time.Sleep(retryInterval)
	}
	b.s.t.Errorf("no definite answer for %s", key)
}

func (b *bidder) sendOnce(key string, h *entryHost) attempt {
	a := attempt{key: key, host: h.id, runsBefore: b.s.runsOfKey(key)}
	ctx, cancel := context.WithTimeout(context.Background(), bidTimeout)
	defer cancel()
	got, err := bid(key, b.bodyOf(key)).with("Quetzalweir-Deadline-Ms", strconv.FormatInt(bidDeadline.Milliseconds(), 10)).sendContext(ctx, h)
	if err != nil {
		return a
	}
	a.complete = true
	a.requestID = got.get("Quetzalweir-Request-Id")
	a.status = got.status
	code, _ := strconv.Atoi(got.get("Quetzalweir-Result-Code"))
	a.code = resultcode.Code(code)
	a.runState = got.get("Quetzalweir-Run-State")
	a.hasRetryAfter = got.get("Retry-After") != ""
	a.body = got.body
	return a
}

// expectedAnswer returns the correct answer to the bid with the key.
func (b *bidder) expectedAnswer(key string) string {
	return string(service.ExpectedAnswer(http.MethodPost, "/bids", []byte(b.bodyOf(key))))
}

// checkAtMostOnce compares a history of requests that have a key with what the
// services recorded: runs by key and arrivals by request id. It returns a
// description of each violated guarantee.
func checkAtMostOnce(history []attempt, runs map[string]int, arrivals map[string]service.Arrival, want func(key string) string) []string {
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for key, n := range runs {
		if n > 1 {
			report("key %s ran %d times", key, n)
		}
	}
	for _, a := range history {
		switch {
		case !a.complete:
		case a.code == resultcode.OK:
			if a.status != http.StatusOK || a.body != want(a.key) {
				report("key %s on %s: status %d, answer %q", a.key, a.host, a.status, a.body)
			}
			if a.runState != "ran" || runs[a.key] == 0 {
				report("key %s on %s: answered with run state %q after %d runs", a.key, a.host, a.runState, runs[a.key])
			}
		case a.runState == "not-run":
			if a.runsBefore > 0 {
				report("key %s on %s: refused as not run (code %d) although it had run", a.key, a.host, a.code)
			}
			if got := arrivals[a.requestID]; got.Heads > 0 {
				report("key %s on %s: request %s refused as not run (code %d) although it arrived: %+v", a.key, a.host, a.requestID, a.code, got)
			}
		case a.runState != "may-have-run" && a.runState != "ran":
			report("key %s on %s: refusal %d with run state %q", a.key, a.host, a.code, a.runState)
		}
	}
	return found
}
