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

// attempt is one sending of a keyed request by a caller's library.
type attempt struct {
	key  string
	host string
	// runsBefore is how often the key had run when the attempt was sent.
	runsBefore int
	// whole says that a whole answer came; the rest is empty without.
	whole     bool
	requestID string
	status    int
	code      resultcode.Code
	runState  string
	// comeBack says that the answer names a time to come back.
	comeBack bool
	body     string
}

// definite says that the caller's library has nothing more to ask.
func (a attempt) definite() bool {
	return a.whole && (a.code == resultcode.OK || a.code == resultcode.EarlierOutcomeUnknown)
}

// attempts collects what happened; it is safe for concurrent use.
type attempts struct {
	mu   sync.Mutex
	list []attempt
}

func (l *attempts) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

func (l *attempts) all() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attempt(nil), l.list...)
}

// bidder is callers' libraries that repeat a bid, with its key and on other
// hosts, until they hold a definite answer.
type bidder struct {
	s     *system
	hosts *fleet
	log   *attempts
	wait  sync.WaitGroup
}

const (
	// bidPatience is the deadline that a bid carries; the library leaves a
	// little later.
	bidPatience = 3 * time.Second
	bidTimeout  = bidPatience + 500*time.Millisecond
	// bidPause is the pause between two tries.
	bidPause = 150 * time.Millisecond
	// bidTries bounds the tries of one bid.
	bidTries = 150
)

func newBidder(s *system) *bidder {
	return &bidder{s: s, hosts: &fleet{hosts: append([]*entryHost(nil), s.hosts...)}, log: &attempts{}}
}

// start sends n bids whose keys begin with name. Each third one is sent twice
// at the same time, on different hosts.
func (b *bidder) start(name string, n int) {
	for i := range n {
		key := fmt.Sprintf("%s-%d", name, i)
		b.wait.Go(func() { b.one(key, i) })
		if i%3 == 0 {
			b.wait.Go(func() { b.one(key, i+1) })
		}
	}
}

// body is the bid of a key.
func (b *bidder) body(key string) string { return fmt.Sprintf(`{"bid":%q}`, key) }

func (b *bidder) one(key string, first int) {
	for try := range bidTries {
		hosts := b.hosts.list()
		a := b.try(key, hosts[(first+try)%len(hosts)])
		b.log.add(a)
		if a.definite() {
			return
		}
		time.Sleep(bidPause)
	}
	b.s.t.Errorf("no definite answer for %s", key)
}

func (b *bidder) try(key string, h *entryHost) attempt {
	a := attempt{key: key, host: h.id, runsBefore: b.s.runsOfKey(key)}
	ctx, cancel := context.WithTimeout(context.Background(), bidTimeout)
	defer cancel()
	got, err := bid(key, b.body(key)).with("Quetzalweir-Deadline-Ms", strconv.FormatInt(bidPatience.Milliseconds(), 10)).sendContext(ctx, h)
	if err != nil {
		return a
	}
	a.whole = true
	a.requestID = got.get("Quetzalweir-Request-Id")
	a.status = got.status
	code, _ := strconv.Atoi(got.get("Quetzalweir-Result-Code"))
	a.code = resultcode.Code(code)
	a.runState = got.get("Quetzalweir-Run-State")
	a.comeBack = got.get("Retry-After") != ""
	a.body = got.body
	return a
}

// wantBid is the right answer to a key's bid.
func (b *bidder) wantBid(key string) string {
	return string(service.ExpectedAnswer(http.MethodPost, "/bids", []byte(b.body(key))))
}

// checkAtMostOnce judges a history of keyed requests against what the services
// really got: runs by key and arrivals by request id. It returns the promises
// that were broken.
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
		case !a.whole:
		case a.code == resultcode.OK:
			if a.status != http.StatusOK || a.body != want(a.key) {
				report("key %s on %s: status %d, answer %q", a.key, a.host, a.status, a.body)
			}
			if a.runState != "ran" || runs[a.key] == 0 {
				report("key %s on %s: answered with run state %q after %d runs", a.key, a.host, a.runState, runs[a.key])
			}
		case a.runState == "not-run":
			if a.runsBefore > 0 {
				report("key %s on %s: refused as not run (code %d) after it had run", a.key, a.host, a.code)
			}
			if got := arrivals[a.requestID]; got.Heads > 0 {
				report("key %s on %s: request %s refused as not run (code %d), and it arrived: %+v", a.key, a.host, a.requestID, a.code, got)
			}
		case a.runState != "may-have-run" && a.runState != "ran":
			report("key %s on %s: refusal %d with run state %q", a.key, a.host, a.code, a.runState)
		}
	}
	return found
}
