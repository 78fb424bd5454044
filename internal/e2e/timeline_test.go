package e2e

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalweir/quetzalweir/history"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
)

// timeline collects the events of a run with their times since its start. It is safe
// for concurrent use.
type timeline struct {
	start  time.Time
	mu     sync.Mutex
	events []history.Event
}

func newTimeline() *timeline { return &timeline{start: time.Now()} }

// now returns the current time of the run.
func (l *timeline) now() time.Duration { return time.Since(l.start) }

// add records an event with the current time.
func (l *timeline) add(e history.Event) { l.addAt(l.now(), e) }

// addAt records an event with an earlier time.
func (l *timeline) addAt(at time.Duration, e history.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = at
	l.events = append(l.events, e)
}

// sorted returns the events in the order of their times, numbered.
func (l *timeline) sorted() []history.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortAndNumber(slices.Clone(l.events))
}

func sortAndNumber(events []history.Event) []history.Event {
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		events[i].Seq = uint64(i + 1)
	}
	return events
}

// digest returns a hash that identifies the text.
func digest(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// arrival is the arrival of one attempt at an upstream.
type arrival struct {
	upstream string
	key      string
	// model and version are empty for services, and if the upstream didn't read
	// the body.
	model, version string
	runs           int
	// at is when the last complete poll without this arrival began.
	at time.Duration
}

// arrivalPoller polls the arrivals at upstreams. The time that it records for an arrival
// is a lower bound. That is sufficient, since the rules on arrivals only forbid late
// arrivals.
type arrivalPoller struct {
	system   *system
	timeline *timeline
	mu       sync.Mutex
	// arrivals are by the attempt's id and the upstream, separated by a space.
	arrivals map[string]*arrival
	lastPoll time.Duration
}

const (
	pollInterval = 250 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

func (w *arrivalPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.poll()
		time.Sleep(pollInterval)
	}
}

// poll reads the arrivals once. It stops at the first upstream that doesn't answer.
func (w *arrivalPoller) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	began := w.timeline.now()
	for i, e := range w.system.engines {
		var list engine.Arrivals
		if getJSON("http://"+e.address+"/arrivals", &list) != nil {
			return
		}
		for _, a := range list.Arrivals {
			model, version, _ := strings.Cut(a.Model, "@")
			w.record(a.RequestID, arrival{upstream: fmt.Sprintf("engine-%d", i+1), model: model, version: version, runs: a.Began})
		}
	}
	for i, svc := range w.system.services {
		var list service.Arrivals
		if getJSON("http://"+svc.address+"/arrivals", &list) != nil {
			return
		}
		for _, a := range list.Arrivals {
			w.record(a.RequestID, arrival{upstream: fmt.Sprintf("lanes-%d", i+1), key: a.RequestKey, runs: a.Runs})
		}
	}
	w.lastPoll = began
}

func (w *arrivalPoller) record(attemptID string, a arrival) {
	a.at = w.lastPoll
	if known := w.arrivals[attemptID+" "+a.upstream]; known != nil {
		a.at = known.at
	}
	w.arrivals[attemptID+" "+a.upstream] = &a
}

func getJSON(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// callerRecord records the requests that callers sent and the answers that they got.
type callerRecord struct {
	timeline *timeline
	mu       sync.Mutex
	// sent and prompts are by request id.
	sent    map[string]history.Event
	prompts map[string]string
	// unidentified counts the requests whose id the caller never got.
	unidentified int
	// codes counts the answers by result code and run state.
	codes map[string]int
}

// add records a request and its answer. Without an answer the caller doesn't have the
// request's id, and add makes up one.
func (v *callerRecord) add(at time.Duration, sent, answered history.Event, prompt string) {
	v.mu.Lock()
	if answered.RequestID == "" {
		v.unidentified++
		answered.RequestID = fmt.Sprintf("unseen-%d", v.unidentified)
		answered.Lost = true
	}
	sent.Kind, sent.RequestID, sent.At = history.RequestSent, answered.RequestID, at
	answered.Kind, answered.Host = history.CallerAnswered, sent.Host
	v.sent[sent.RequestID] = sent
	v.prompts[sent.RequestID] = prompt
	v.codes[codeName(answered)]++
	v.mu.Unlock()
	v.timeline.addAt(at, sent)
	v.timeline.add(answered)
}

func codeName(e history.Event) string {
	if e.Lost {
		return "lost"
	}
	return fmt.Sprintf("%d %s", e.Code, e.RunState)
}

// maxArrivalDelay is the maximum time from the sending to the arrival of a request
// whose caller never got its id.
const maxArrivalDelay = 10 * time.Second

// withArrivals adds the arrivals to the events. Requests whose id no caller got are
// recorded as sent maxArrivalDelay before their arrival. There can't be more such
// requests than requests without an answer.
func (v *callerRecord) withArrivals(events []history.Event, arrivals map[string]*arrival) []history.Event {
	unidentified := map[string]bool{}
	for name, a := range arrivals {
		id := requestIDOf(name)
		sent, known := v.sent[id]
		if !known && !unidentified[id] {
			unidentified[id] = true
			sent = history.Event{Kind: history.RequestSent, RequestID: id, Account: "dev", Key: a.key, Idempotent: a.key == ""}
			sent.At = max(0, a.at-maxArrivalDelay)
			events = append(events, sent)
		}
		e := history.Event{Kind: history.UpstreamArrived, RequestID: id, Account: "dev", Key: a.key, Upstream: a.upstream, Model: a.model, Version: a.version}
		e.At = max(a.at, sent.At)
		events = append(events, e)
		e.Kind = history.UpstreamRan
		if known && a.model != "" {
			e.Digest = digest(engine.ExpectedAnswer(a.model, a.version, v.prompts[id]))
		}
		for range a.runs {
			events = append(events, e)
		}
	}
	return events
}
