package gateway

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/routing"
)

var (
	stopSeed  = flag.Uint64("stop.seed", 0, "first seed of the drawn requests in planned stops; 0 uses the fixed seeds")
	stopSeeds = flag.Int("stop.seeds", 1, "number of consecutive seeds from the first one on")
)

const (
	// stopFixedSeeds is the number of seeds that CI runs, stopRaceSeeds with the race detector.
	stopFixedSeeds, stopRaceSeeds = 150, 30
	// stopTarget and stopPause are the target and the permitted pause of all routes.
	stopTarget, stopPause = 400 * time.Millisecond, 200 * time.Millisecond
	// The host may end a run after a silence of leastHeadWait before the head, of firstHeadWait while the usual times aren't
	// known, and of leastPause between two events.
	leastHeadWait, firstHeadWait = time.Duration(minHeadTimeout * float64(stopTarget)), time.Duration(initialHeadTimeout * float64(stopTarget))
	leastPause                   = time.Duration(pauseFactor * float64(stopPause))
	// maxRuns is the number of attempts that may reach upstreams, scarceRetries the retries of all requests if they are scarce.
	maxRuns, scarceRetries = 3, 1
	// longTime is longer than any request takes, forGood than any sequence; dialTime is the time to open a connection.
	longTime, forGood, dialTime = 30 * time.Second, time.Hour, time.Millisecond
)

// runPlan is how a run goes, at whichever upstream: the head after a while, and then events with pauses. turn, one of the constants
// below, happens after the given number of events; silence is the length of turnPause.
type runPlan struct {
	head, pause, silence, retryAfter time.Duration
	turn                             string
	after, confidence                int
}

const (
	turnNone, turnReset, turnCut        = "none", "reset before the head", "cut"
	turnPause, turnDisorder, turnRefuse = "pause", "event out of order", "refused as not run"
)

// plannedRequest is a caller's request, and what its caller and its stand-ins recorded. Times are since the start of the
// sequence. aborted is set if the caller was cut off, mayGoOn if another attempt would have been permitted at endedAt.
type plannedRequest struct {
	number, events                int
	route                         string
	sendAt, timeout, endedAt      time.Duration
	plans                         []runPlan
	runs                          []*recordedRun
	got                           *httptest.ResponseRecorder
	aborted, mayGoOn, quarantined bool
}

// recordedRun is a stand-in's record of a run. sentAt are the times of the head and of the events. failed is set once the stand-in
// has cut off the run or sent a wrong event. hostEndedAt is when the host ended the run before the stand-in did, 0 if it didn't.
type recordedRun struct {
	plan                 runPlan
	upstream, model      string
	arrived, hostEndedAt time.Duration
	sentAt               []time.Duration
	failed               bool
}

// replayedUpstream is an upstream. backsOff is the time until which it accepts no requests by its own statement.
type replayedUpstream struct {
	Upstream
	gone     bool
	backsOff time.Duration
}

// stopReplay is one drawn sequence. It is the listener of the stand-ins, which are one server.
type stopReplay struct {
	net.Listener
	t                        *testing.T
	random                   *rand.Rand
	g                        *Gateway
	begin                    time.Time
	conns                    chan net.Conn
	log                      lockedBuffer
	scarce                   bool
	usual, stopAt, stopLasts time.Duration
	requests                 []*plannedRequest

	mu        sync.Mutex
	upstreams []*replayedUpstream
	evacuated string
	changes   []string
}

func (p *stopReplay) now() time.Duration { return time.Since(p.begin) }

// ms draws a whole number of milliseconds.
func (p *stopReplay) ms(from, to int) time.Duration {
	return time.Duration(from+p.random.IntN(to-from+1)) * time.Millisecond
}

// around draws a time at the limit or up to 3 ms before or after it.
func (p *stopReplay) around(limits ...time.Duration) time.Duration {
	return drawOne(p, limits...) + drawOne(p, 0, p.ms(-3, 3))
}

func drawOne[T any](p *stopReplay, list ...T) T { return list[p.random.IntN(len(list))] }

// drawPlan draws how a run goes.
func (p *stopReplay) drawPlan(sound bool) runPlan {
	plan := runPlan{head: drawOne(p, p.ms(1, 60), p.ms(1, 270)), pause: p.ms(1, 80), turn: turnNone, after: p.random.IntN(4), confidence: drawOne(p, 8, 8, 90)}
	if sound {
		return plan
	}
	plan.turn = drawOne(p, turnNone, turnNone, turnCut, turnCut, turnReset, turnPause, turnPause, turnPause, turnPause, turnDisorder, turnRefuse)
	switch plan.turn {
	case turnNone:
		plan.head = drawOne(p, forGood, p.around(leastHeadWait, firstHeadWait))
	case turnPause:
		plan.silence = drawOne(p, forGood, p.around(leastPause))
	case turnDisorder:
		plan.after++ // the first event that a caller gets may have any number
	case turnRefuse:
		plan.retryAfter = drawOne(p, 0, 0, p.ms(50, 600))
	}
	return plan
}

func (p *stopReplay) drawRequest(number int) *plannedRequest {
	r := &plannedRequest{
		number: number, route: drawOne(p, "stream", "stream", "many", "models", "models", "once", "fixed"), sendAt: p.ms(0, 1500),
		timeout: drawOne(p, 12*time.Second, 12*time.Second, 12*time.Second, p.ms(200, 5000), firstHeadWait+p.ms(1, 60)),
		events:  2 + p.random.IntN(5), got: httptest.NewRecorder(),
	}
	for i := range maxRuns {
		// The last run is mostly sound, so that a whole answer is possible.
		r.plans = append(r.plans, p.drawPlan(p.random.IntN(5) == 0 || i == maxRuns-1 && p.random.IntN(5) > 0))
	}
	return r
}

func stopReplayDocument(version uint64) routing.Document {
	doc := stopDocument() // whose requests have 12 s
	doc.Version = version
	for i := range doc.Routes {
		doc.Routes[i].Target, doc.Routes[i].MaxPause = stopTarget, stopPause
	}
	return doc
}

// play draws a sequence and plays it to its end.
func (p *stopReplay) play() {
	p.scarce = p.random.IntN(5) == 0
	spare := map[bool]float64{false: 1000, true: scarceRetries}[p.scarce]
	p.g.retryBudgets.make = func() *retryBudget { return newRetryBudget(0, time.Minute, func() float64 { return spare }) }
	p.usual = drawOne(p, 0, 100*time.Millisecond, longTime)
	for _, route := range stopReplayDocument(7).Routes {
		for range 20 * min(p.usual, 1) {
			p.g.plannedStop.ObserveRequest("svc/"+route.Name, p.usual)
		}
	}
	p.g.egress.dialDirect = p.dial
	server := &http.Server{Handler: http.HandlerFunc(p.serveUpstream)}
	go func() { _ = server.Serve(p) }()
	for i := range 2 + p.random.IntN(3) {
		u := Upstream{ID: fmt.Sprint("u", i), Service: "svc", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: fmt.Sprint("z", 1+i%2), Version: "v1", Slots: 8}
		p.upstreams = append(p.upstreams, &replayedUpstream{Upstream: u})
		p.g.fleet.ApplyEntry(u, 1)
	}
	for i := range 1 + p.random.IntN(6) {
		p.requests = append(p.requests, p.drawRequest(i))
	}
	p.stopLasts = p.ms(50, 5000)
	duringRequest := drawOne(p, p.requests...).sendAt + p.ms(1, 250)
	p.stopAt = drawOne(p, duringRequest, duringRequest, duringRequest, p.ms(1, 600), p.ms(1, 600), p.ms(500, 2500), forGood)
	var group sync.WaitGroup
	for _, r := range p.requests {
		group.Go(func() { p.call(r) })
	}
	p.scheduleChanges(&group)
	group.Go(p.stop)
	group.Wait()
	time.Sleep(time.Minute) // the guard examines upstreams that cut off runs
	p.g.egress.CloseIdleConnections()
	_ = server.Close()
	time.Sleep(time.Second)
}

// stop stops the host as Gateway.stop does, without a server.
func (p *stopReplay) stop() {
	if p.stopAt == forGood {
		return
	}
	time.Sleep(p.stopAt)
	p.g.plannedStop.Begin(time.Now().Add(p.stopLasts))
	p.g.stopping.Store(true)
	p.g.holds.endHolds()
	time.Sleep(p.stopLasts)
	_ = p.g.plannedStop.EndRequests(new(http.Server), p.g.intake.EndBodies)
}

// scheduleChanges draws changes of entries, zones, verdicts and the document. One upstream keeps its entry. Changes are made half a
// millisecond off the times of everything else, so that none comes between the two halves of a decision.
func (p *stopReplay) scheduleChanges(group *sync.WaitGroup) {
	at := func(when time.Duration, desc string, change func()) {
		group.Go(func() {
			time.Sleep(when + time.Millisecond/2)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.changes = append(p.changes, fmt.Sprintf("%v: %s", p.now(), desc))
			change()
		})
	}
	for _, u := range p.upstreams[1:] {
		switch p.random.IntN(5) {
		case 0:
			at(p.ms(0, 3000), u.ID+" leaves", func() { u.gone, u.Leaving = true, true; p.g.fleet.ApplyEntry(u.Upstream, 2) })
		case 1:
			at(p.ms(0, 3000), u.ID+" is removed", func() { u.gone = true; p.g.fleet.RemoveEntry(u.ID, 2, false) })
		}
	}
	if p.random.IntN(5) == 0 {
		zone, from := drawOne(p, "z1", "z2"), p.ms(0, 3000)
		at(from, zone+" is evacuated", func() { p.evacuated = zone; p.g.fleet.SetEvacuated(map[string]bool{zone: true}, 3) })
		at(from+p.ms(100, 3000), zone+" is taken back", func() { p.evacuated = ""; p.g.fleet.SetEvacuated(nil, 4) })
	}
	if p.random.IntN(5) == 0 {
		table, err := routing.New(stopReplayDocument(8))
		is.New(p.t).NoErr(err)
		at(p.ms(0, 3000), "new document", func() { p.g.routingTable.Store(table) })
	}
	if r := drawOne(p, p.requests...); p.random.IntN(5) == 0 {
		content := quarantine.Content{Host: testHost, Method: http.MethodPost, Target: r.target(), Account: "acme", Body: []byte(r.body())}
		digest := content.Digest().String()
		at(r.sendAt+p.ms(0, 400), fmt.Sprintf("r%d is quarantined", r.number), func() {
			r.quarantined = true
			err := p.g.guard.ApplyRow(testTables().VerdictsPrefix+digest, fmt.Appendf(nil, `{"digest":%q,"until_ms":1000000000000}`, digest), 5)
			is.New(p.t).NoErr(err)
		})
	}
}

// dial opens a connection to the stand-ins.
func (p *stopReplay) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	time.Sleep(dialTime)
	near, far := net.Pipe()
	p.conns <- far
	return near, ctx.Err()
}

// Accept implements net.Listener.
func (p *stopReplay) Accept() (net.Conn, error) {
	if conn, ok := <-p.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (p *stopReplay) Close() error {
	close(p.conns)
	return nil
}

// serveUpstream runs a request at the stand-in of an upstream.
func (p *stopReplay) serveUpstream(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	number, _ := strconv.Atoi(req.Header.Get("T-Id"))
	r, header := p.requests[number], w.Header()
	header.Set("T-Id", req.Header.Get("T-Id"))
	run := p.record(r, req)
	if run.plan.turn == turnRefuse {
		if d := run.plan.retryAfter; d > 0 {
			header.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
		}
		respondNotRun(w, req)
		return
	}
	p.pause(req, run, run.plan.head)
	if run.plan.turn == turnReset {
		p.cut(run)
	}
	header.Set("T-Stamp", "stamp")
	header.Set("T-Confidence", strconv.Itoa(run.plan.confidence))
	if r.route == "once" || r.route == "many" {
		header.Set("Content-Length", strconv.Itoa(len(eventTexts(1, r.events))))
	}
	received, _ := eventNumber(req.Header.Get("T-Last-Event"))
	p.send(w, run, "")
	for i := int(received) + 1; i <= r.events; i++ {
		pause, turn := run.plan.pause, turnNone
		if i-int(received)-1 == run.plan.after {
			turn = run.plan.turn
		}
		switch turn {
		case turnCut:
			p.cut(run)
		case turnPause:
			pause = run.plan.silence
		case turnDisorder:
			run.failed = true
			p.send(w, run, eventText(90))
		}
		p.pause(req, run, pause)
		p.send(w, run, eventText(i))
	}
}

// record records that a request has arrived at a stand-in.
func (p *stopReplay) record(r *plannedRequest, req *http.Request) *recordedRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := &recordedRun{plan: r.plans[min(len(r.runs), maxRuns-1)], upstream: req.Header.Get("T-Expect"), model: req.Header.Get("T-Model"), arrived: p.now()}
	r.runs = append(r.runs, run)
	if u := p.upstreams[slices.IndexFunc(p.upstreams, func(u *replayedUpstream) bool { return u.ID == run.upstream })]; run.plan.retryAfter > 0 {
		u.backsOff = max(u.backsOff, p.now()+run.plan.retryAfter)
	}
	return run
}

func (p *stopReplay) cut(run *recordedRun) {
	run.failed = true
	panic(http.ErrAbortHandler)
}

// pause sends nothing for some time. The run ends if the host ends it meanwhile.
func (p *stopReplay) pause(req *http.Request, run *recordedRun, d time.Duration) {
	if wait.For(req.Context(), d) != nil {
		run.hostEndedAt = p.now()
		panic(http.ErrAbortHandler)
	}
}

func (p *stopReplay) send(w http.ResponseWriter, run *recordedRun, text string) {
	run.sentAt = append(run.sentAt, p.now())
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

func (r *plannedRequest) target() string { return "/" + r.route + "/x" }

func (r *plannedRequest) body() string { return fmt.Sprint("body ", r.number) }

// call sends a caller's request and records its answer.
func (p *stopReplay) call(r *plannedRequest) {
	time.Sleep(r.sendAt)
	req := httptest.NewRequest(http.MethodPost, r.target(), strings.NewReader(r.body()))
	req.Host = testHost
	req.Header = http.Header{"T-Id": {fmt.Sprint(r.number)}, "T-Key": {"key-1"}, "T-Deadline": {fmt.Sprint(r.timeout.Milliseconds())}}
	if r.route == "models" {
		req.Header["T-Model"], req.Header["T-Tokens"] = []string{"*"}, []string{"100,10"}
	}
	defer func() {
		if v := recover(); v != nil {
			if r.aborted = v == http.ErrAbortHandler; !r.aborted {
				panic(v)
			}
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		r.endedAt = p.now()
		r.mayGoOn = !p.scarce && !r.quarantined && len(r.runs) < maxRuns && p.isAvailable(p.ends(r, r.endedAt))
	}()
	p.g.ServeHTTP(r.got, req)
}

// ends returns when the time of a request is over, as far as that is known at the given time.
func (p *stopReplay) ends(r *plannedRequest, at time.Duration) time.Duration {
	if end := r.sendAt + r.timeout; at < p.stopAt {
		return end
	}
	return min(r.sendAt+r.timeout, p.stopAt+p.stopLasts)
}

// isAvailable reports whether an upstream accepts requests now, or in time before the end. After it has stated a backoff, requests
// may be sent to it at intervals only.
func (p *stopReplay) isAvailable(end time.Duration) bool {
	return slices.ContainsFunc(p.upstreams, func(u *replayedUpstream) bool {
		from := p.now()
		if u.backsOff > 0 {
			from = max(from, u.backsOff) + notice.TrialInterval
		}
		return !u.gone && u.Zone != p.evacuated && from+2*failover.MinAttemptTime < end
	})
}

func (r *plannedRequest) isWhole() bool {
	return !r.aborted && r.got.Code == http.StatusOK && r.got.Body.String() == eventTexts(1, r.events)
}

// check returns the rules that the records of a request break.
func (p *stopReplay) check(r *plannedRequest) (broken []string) {
	ran := 0
	for i, run := range r.runs {
		if run.plan.turn != turnRefuse {
			ran++
		}
		if at := run.hostEndedAt; at == 0 || run.failed || at >= p.ends(r, at) {
			continue
		}
		if i == len(r.runs)-1 {
			broken = append(broken, fmt.Sprintf("run %d is ended and no attempt follows", i+1))
		}
		broken = append(broken, p.checkHostEnd(r, run)...)
	}
	single, isPart := r.route == "once" || r.route == "fixed", strings.HasPrefix(eventTexts(1, r.events), r.got.Body.String())
	switch {
	case ran > 1 && single:
		broken = append(broken, "a request that may run once ran again")
	case ran > 0 && slices.Contains([]int{408, 421, 429, 503}, r.got.Code):
		broken = append(broken, fmt.Sprintf("status %d for a request that ran", r.got.Code))
	case r.got.Code == http.StatusOK && (!isPart || !r.aborted && !r.isWhole()):
		broken = append(broken, "events are missing or doubled")
	case ran > 0 && !single && r.mayGoOn && !r.isWhole():
		broken = append(broken, "a request that has begun gets no further attempt")
	}
	return broken
}

// checkHostEnd returns the rules that are broken by the end of a run, which the host ended.
func (p *stopReplay) checkHostEnd(r *plannedRequest, run *recordedRun) (broken []string) {
	at := run.hostEndedAt
	if p.ends(r, at)-at < failover.MinAttemptTime {
		broken = append(broken, "a run is ended though no time is left for another one")
	}
	// What is sent as the limit is reached may come too late.
	since, limit := run.arrived, leastHeadWait-2*dialTime
	for _, sentAt := range run.sentAt {
		if sentAt < at {
			since, limit = sentAt, leastPause
		}
	}
	mayDrop := r.route == "models" && run.model == "small" && run.plan.confidence < 50 && len(run.sentAt) > 0
	if at-since >= limit {
		return broken
	}
	timeIsKnown := slices.ContainsFunc(p.requests, func(o *plannedRequest) bool { return o.route == r.route && o.isWhole() && o.endedAt <= at })
	switch {
	case !mayDrop:
		broken = append(broken, fmt.Sprintf("a run is ended after a silence of %v", at-since))
	case at > p.stopAt && p.ends(r, at) < r.sendAt+r.timeout && (p.usual == longTime || p.usual == 0 && !timeIsKnown):
		broken = append(broken, "an answer is dropped though the stop will probably end the next one")
	}
	return broken
}

// checkAll checks the records, and logs what happened if a rule is broken.
func (p *stopReplay) checkAll() {
	retries := 0
	for _, r := range p.requests {
		retries += max(0, len(r.runs)-1)
		for _, rule := range p.check(r) {
			p.t.Errorf("r%d: %s", r.number, rule)
		}
	}
	if p.scarce && retries > scarceRetries {
		p.t.Errorf("%d retries, permitted are %d", retries, scarceRetries)
	}
	if p.t.Failed() {
		p.report()
	}
}

func (p *stopReplay) report() {
	p.t.Logf("stop at %v for %v, usual time %v, retries scarce: %v, %d upstreams, changes: %s", p.stopAt, p.stopLasts, p.usual, p.scarce, len(p.upstreams), strings.Join(p.changes, "; "))
	for _, r := range p.requests {
		p.t.Logf("r%d %s of %d events at %v, time %v: status %d, aborted %v, %d bytes at %v", r.number, r.route, r.events, r.sendAt, r.timeout,
			r.got.Code, r.aborted, r.got.Body.Len(), r.endedAt)
		for _, run := range r.runs {
			p.t.Logf("   %v at %s, model %q: %+v, sent at %v, ended by the host at %v", run.arrived, run.upstream, run.model, run.plan, run.sentAt, run.hostEndedAt)
		}
	}
	if *stopSeed != 0 {
		p.t.Log(p.log.String())
	}
}

// Guards against requests that have begun and get no further attempt because of a planned stop, a silence, a low confidence or an
// upstream that is taken away, and against runs that the host ends without another one. A seed fixes what is drawn, not which of
// several equal upstreams the host chooses.
func TestDrawnRequestsThatBeganInPlannedStops(t *testing.T) {
	first, count := uint64(1), stopFixedSeeds
	if raceEnabled {
		count = stopRaceSeeds
	}
	if *stopSeed != 0 {
		first, count = *stopSeed, *stopSeeds
	}
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &stopReplay{t: t, random: rand.New(rand.NewPCG(seed, 21)), begin: time.Now(), conns: make(chan net.Conn)}
				p.g, _ = newGatewayWithoutServer(t, stopReplayDocument(7))
				p.g.log = zerolog.New(&p.log)
				p.play()
				p.checkAll()
			})
		})
	}
}
