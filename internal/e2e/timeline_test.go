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

// timeline collects the events of a run, each with its own time. It is safe for
// concurrent use.
type timeline struct {
	start  time.Time
	mu     sync.Mutex
	events []history.Event
}

func newTimeline() *timeline { return &timeline{start: time.Now()} }

// now is the time of an event that happens now.
func (l *timeline) now() time.Duration { return time.Since(l.start) }

// add records an event of now.
func (l *timeline) add(e history.Event) { l.addAt(l.now(), e) }

// addAt records an event of an earlier time.
func (l *timeline) addAt(at time.Duration, e history.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = at
	l.events = append(l.events, e)
}

// record returns the events in order of their times.
func (l *timeline) record() []history.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return inOrder(slices.Clone(l.events))
}

func inOrder(events []history.Event) []history.Event {
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		events[i].Seq = uint64(i + 1)
	}
	return events
}

// digest identifies a text.
func digest(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// arrival is what an upstream got of one attempt.
type arrival struct {
	upstream string
	key      string
	// model and version are empty for services, and where the body wasn't read.
	model, version string
	runs           int
	// at is when it was not yet there.
	at time.Duration
}

// watch polls what the upstreams got. Of each arrival it knows a time before
// which it can't have come, and that is enough: the rules on arrivals forbid
// late ones.
type watch struct {
	s    *system
	line *timeline
	mu   sync.Mutex
	// arrivals are by the attempt's id and the upstream.
	arrivals map[string]*arrival
	looked   time.Duration
}

const (
	watchPause   = 250 * time.Millisecond
	watchTimeout = 2 * time.Second
)

func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.look()
		time.Sleep(watchPause)
	}
}

// look reads the arrivals once.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	began := w.line.now()
	for i, e := range w.s.engines {
		var list engine.Arrivals
		if getJSON("http://"+e.address+"/arrivals", &list) != nil {
			return
		}
		for _, a := range list.Arrivals {
			model, version, _ := strings.Cut(a.Model, "@")
			w.note(a.RequestID, arrival{upstream: fmt.Sprintf("engine-%d", i+1), model: model, version: version, runs: a.Began})
		}
	}
	for i, svc := range w.s.services {
		var list service.Arrivals
		if getJSON("http://"+svc.address+"/arrivals", &list) != nil {
			return
		}
		for _, a := range list.Arrivals {
			w.note(a.RequestID, arrival{upstream: fmt.Sprintf("lanes-%d", i+1), key: a.RequestKey, runs: a.Runs})
		}
	}
	w.looked = began
}

func (w *watch) note(attemptID string, a arrival) {
	a.at = w.looked
	if known := w.arrivals[attemptID+" "+a.upstream]; known != nil {
		a.at = known.at
	}
	w.arrivals[attemptID+" "+a.upstream] = &a
}

func getJSON(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
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

// sightings are the callers' view of the requests that they sent.
type sightings struct {
	line *timeline
	mu   sync.Mutex
	// sent and prompts are by request id.
	sent    map[string]history.Event
	prompts map[string]string
	// unseen counts the requests whose id the caller never saw.
	unseen int
	// codes counts the answers by result code and run state.
	codes map[string]int
}

// request records a request and its answer. Without an answer the caller knows
// no id, and the record has a name of its own for it.
func (v *sightings) request(at time.Duration, sent, answered history.Event, prompt string) {
	v.mu.Lock()
	if answered.RequestID == "" {
		v.unseen++
		answered.RequestID = fmt.Sprintf("unseen-%d", v.unseen)
		answered.Lost = true
	}
	sent.Kind, sent.RequestID, sent.At = history.RequestSent, answered.RequestID, at
	answered.Kind, answered.Host = history.CallerAnswered, sent.Host
	v.sent[sent.RequestID] = sent
	v.prompts[sent.RequestID] = prompt
	v.codes[codeName(answered)]++
	v.mu.Unlock()
	v.line.addAt(at, sent)
	v.line.add(answered)
}

func codeName(e history.Event) string {
	if e.Lost {
		return "lost"
	}
	return fmt.Sprintf("%d %s", e.Code, e.RunState)
}

// unseenAllowance is how long before its arrival a request can have been sent
// whose caller never saw its id.
const unseenAllowance = 10 * time.Second

// join adds the arrivals to the callers' record. Requests that no caller saw
// an id of are recorded as sent before their arrival; there can't be more of
// them than callers lost.
func (v *sightings) join(events []history.Event, arrivals map[string]*arrival) []history.Event {
	hidden := map[string]bool{}
	for name, a := range arrivals {
		id := requestOf(name)
		sent, known := v.sent[id]
		if !known && !hidden[id] {
			hidden[id] = true
			sent = history.Event{Kind: history.RequestSent, RequestID: id, Account: "dev", Key: a.key, Idempotent: a.key == ""}
			sent.At = max(0, a.at-unseenAllowance)
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
