package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// arrivalCounts holds the number of request headers that upstreams read for one
// request, and the number of its runs.
type arrivalCounts struct {
	heads, runs int
}

// arrivalsOfRequest returns the counts of a request, summed over all upstreams and
// attempts.
func (s *system) arrivalsOfRequest(requestID string) arrivalCounts {
	s.t.Helper()
	e, svc := s.engineArrivals()[requestID], s.serviceArrivals()[requestID]
	return arrivalCounts{heads: e.Heads + svc.Heads, runs: e.Began + svc.Runs}
}

// outcome is the answer or error that a caller got, with the parsed values of its
// header.
type outcome struct {
	answer
	err      error
	took     time.Duration
	code     resultcode.Code
	runState string
	id       string
}

// longDeadline is a deadline that no refusal may wait for: a refusal must arrive
// within refusalBound, which is much shorter.
const (
	longDeadline = 25 * time.Second
	refusalBound = 10 * time.Second
)

func (c call) withDeadline(d time.Duration) call {
	return c.with("Quetzalweir-Deadline-Ms", strconv.FormatInt(d.Milliseconds(), 10))
}

func (c call) outcome(ctx context.Context, h *entryHost) outcome {
	began := time.Now()
	a, err := c.sendContext(ctx, h)
	o := outcome{answer: a, err: err, took: time.Since(began)}
	code, _ := strconv.Atoi(a.get("Quetzalweir-Result-Code"))
	o.code = resultcode.Code(code)
	o.runState = a.get("Quetzalweir-Run-State")
	o.id = a.get("Quetzalweir-Request-Id")
	return o
}

// checkRefusal compares the refusal that a caller got with the arrivals at upstreams
// and returns a description of each contradiction. claimed is true if the request
// may run only once.
func checkRefusal(o outcome, got arrivalCounts, claimed bool) []string {
	var found []string
	report := func(format string, args ...any) {
		found = append(found, fmt.Sprintf("%d %s: ", int(o.code), o.runState)+fmt.Sprintf(format, args...))
	}
	if o.took >= refusalBound {
		report("refused after %v, with a deadline of %v", o.took, longDeadline)
	}
	spec := resultcode.Lookup(o.code)
	if o.code == resultcode.OK || o.status != spec.Status {
		report("status %d: %s", o.status, o.body)
	}
	if hasRetryAfter := o.get("Retry-After") != ""; hasRetryAfter != shouldHaveRetryAfter(o, claimed) {
		report("has a Retry-After header: %t", hasRetryAfter)
	}
	switch o.runState {
	case "not-run":
		if got.heads > 0 {
			report("the request arrived at an upstream: %+v", got)
		}
	case "may-have-run":
	case "ran":
		if got.runs == 0 {
			report("the request didn't run: %+v", got)
		}
	default:
		report("no run state")
	}
	return found
}

// shouldHaveRetryAfter reports whether the refusal must have a Retry-After header,
// because the request can be served if it is repeated later.
func shouldHaveRetryAfter(o outcome, claimed bool) bool {
	switch o.code {
	case resultcode.OutcomeUnknown, resultcode.AnswerIncomplete, resultcode.AnswerMismatch:
		return !claimed
	case resultcode.StoreUnavailable, resultcode.DuplicateInFlight:
		return true
	default:
		sentOnce := claimed && o.runState != "not-run"
		return resultcode.Lookup(o.code).Retry > 0 && !sentOnce
	}
}

// TestCheckRefusalRejects checks that checkRefusal reports each kind of
// contradiction.
func TestCheckRefusalRejects(t *testing.T) {
	good := func(code resultcode.Code, runState, retryAfter string) outcome {
		o := outcome{code: code, runState: runState}
		o.status = resultcode.Lookup(code).Status
		o.header = http.Header{"Retry-After": {retryAfter}}
		return o
	}
	slow := good(resultcode.QueueFull, "not-run", "1")
	slow.took = refusalBound
	status := good(resultcode.QueueFull, "not-run", "1")
	status.status = http.StatusOK
	tests := []struct {
		desc    string
		o       outcome
		got     arrivalCounts
		claimed bool
		want    int
	}{
		{desc: "good refusal", o: good(resultcode.QueueFull, "not-run", "1")},
		{desc: "good refusal of what broke off", o: good(resultcode.AnswerIncomplete, "ran", ""), got: arrivalCounts{1, 1}, claimed: true},
		{desc: "it arrived", o: good(resultcode.QueueFull, "not-run", "1"), got: arrivalCounts{heads: 1}, want: 1},
		{desc: "no Retry-After header", o: good(resultcode.QueueFull, "not-run", ""), want: 1},
		{desc: "never run again", o: good(resultcode.UpstreamRefused, "may-have-run", "1"), got: arrivalCounts{heads: 1}, claimed: true, want: 1},
		{desc: "may be repeated", o: good(resultcode.OutcomeUnknown, "may-have-run", ""), got: arrivalCounts{heads: 1}, want: 1},
		{desc: "it didn't run", o: good(resultcode.AnswerIncomplete, "ran", ""), claimed: true, want: 1},
		{desc: "no run state", o: good(resultcode.QueueFull, "", "1"), want: 1},
		{desc: "late", o: slow, want: 1},
		{desc: "wrong status", o: status, want: 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if found := checkRefusal(test.o, test.got, test.claimed); len(found) != test.want {
				t.Errorf("found %q", found)
			}
		})
	}
}

// refusalCase is a fault under which each request must be refused, or answered
// completely.
type refusalCase struct {
	desc string
	// engines and services are the faults of the upstreams.
	engines  engine.Faults
	services service.Faults
	// replaced is true if the upstreams don't recover, and new upstreams are
	// started in their place.
	replaced bool
}

func refusalCases() []refusalCase {
	var cases []refusalCase
	const everyTime = 1000
	for _, at := range cut.Boundaries() {
		plan := cut.Plan{At: at, Times: everyTime, Frames: 2}
		cases = append(cases, refusalCase{desc: string(at), engines: engine.Faults{Cut: plan}, services: service.Faults{Cut: plan}})
	}
	leaving := refusalCase{desc: "leaving", engines: engine.Faults{Leaving: true}, services: service.Faults{Leaving: true}, replaced: true}
	return append(cases, leaving)
}

// refusalCalls are the kinds of requests that are sent in each case.
func refusalCalls(name string) map[string]call {
	prompt := name + " tokens=20"
	return map[string]call{
		"chat":       chat("large", prompt, false),
		"stream":     chat("large", prompt, true),
		"cascade":    chat("ask", prompt, false),
		"chat once":  chat("large", prompt, false).with("Quetzalweir-Repeatable", "no").with("Quetzalweir-Request-Key", "chat "+name),
		"bid":        bid("bid "+name, `{}`),
		"bid, again": bid("bid again "+name, `{}`),
	}
}

// TestRefusalsMatchWhatArrived cuts connections to engines and services at each
// boundary, and makes engines and services leave, while requests with a long
// deadline are sent. The run state in each refusal must match what arrived at
// upstreams, and a request that was refused with a Retry-After header must be
// served after the fault.
func TestRefusalsMatchWhatArrived(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2)
	s.addServiceInstance("lanes-2", "zone-b")
	s.submit(devenv.Manifest())
	s.waitUpstreams()
	for _, test := range refusalCases() {
		s.setEngineFaults(test.engines)
		s.setServiceFaults(test.services)
		calls := refusalCalls(test.desc)
		outcomes := s.sendAll(calls, longDeadline)
		if test.replaced {
			s.addEngine("engine-new", "zone-a")
			s.addServiceInstance("lanes-new", "zone-a")
		} else {
			s.setEngineFaults(engine.Faults{})
			s.setServiceFaults(service.Faults{})
		}
		for name, o := range outcomes {
			s.checkOutcome(test.desc+": "+name, calls[name], o)
		}
		s.retryRefused(calls, outcomes)
	}
}

// sendAll sends all calls concurrently to the first host and returns their outcomes
// by name.
func (s *system) sendAll(calls map[string]call, deadline time.Duration) map[string]outcome {
	outcomes := map[string]outcome{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for name, c := range calls {
		wait.Go(func() {
			o := c.withDeadline(deadline).outcome(context.Background(), s.hosts[0])
			mu.Lock()
			defer mu.Unlock()
			outcomes[name] = o
		})
	}
	wait.Wait()
	return outcomes
}

// checkOutcome checks that the outcome is a complete answer, a refusal that matches
// what arrived, or a stream that was broken off in time.
func (s *system) checkOutcome(desc string, c call, o outcome) {
	s.t.Helper()
	got := s.arrivalsOfRequest(o.id)
	s.t.Logf("%s: status %d code %d %s, retry after %q, in %v, arrived %+v", desc, o.status, o.code, o.runState, o.get("Retry-After"), o.took.Round(time.Millisecond), got)
	if o.err != nil {
		// The stream was broken off, so that its last chunk is missing.
		if o.took >= refusalBound {
			s.t.Errorf("%s: broke off after %v", desc, o.took)
		}
		return
	}
	if o.status == http.StatusOK && o.code == resultcode.OK && o.runState == "ran" {
		if got.runs == 0 {
			s.t.Errorf("%s: answered without a run", desc)
		}
		return
	}
	claimed := c.header["Quetzalweir-Request-Key"] != ""
	for _, f := range checkRefusal(o, got, claimed) {
		s.t.Errorf("%s: %s", desc, f)
	}
}

// retryRefused repeats the calls that were refused with a Retry-After header until
// they are served.
func (s *system) retryRefused(calls map[string]call, outcomes map[string]outcome) {
	s.t.Helper()
	for name, o := range outcomes {
		if o.err != nil || o.get("Retry-After") == "" {
			continue
		}
		eventually(s.t, name+" is served when repeated", func() bool {
			again := calls[name].outcome(context.Background(), s.hosts[0])
			return again.err == nil && again.status == http.StatusOK && again.code == resultcode.OK
		})
	}
}

// TestRefusalsOfHosts checks refusals that a host itself decides: for an expired
// deadline, a full queue, a caller that disconnects, an unreachable table, and dead
// upstreams.
func TestRefusalsOfHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, 1)
	small := s.addHost("entry-small", "zone-a", "--capacity=1", "--max-queue=1")
	s.submit(devenv.Manifest())
	s.waitUpstreams()
	h := s.hosts[0]

	for name, c := range refusalCalls("expired") {
		o := c.with("Quetzalweir-Deadline-Ms", "0").outcome(t.Context(), h)
		s.checkOutcome("expired: "+name, c, o)
		is.Equal(o.code, resultcode.DeadlineExpired)
	}
	s.checkFullQueue(small)
	s.checkPassedDeadline()
	s.checkLateClaims()
	s.checkRepeatAfterDisconnect(h)
	s.checkWithoutTable(h)
	s.checkDeadUpstreams(h)
}

// checkFullQueue sends more requests to a host than it can run and queue.
func (s *system) checkFullQueue(h *entryHost) {
	s.t.Helper()
	var wait sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range 8 {
		wait.Go(func() {
			c := chat("large", fmt.Sprintf("full %d tokens=400", i), false)
			o := c.withDeadline(longDeadline).outcome(context.Background(), h)
			s.checkOutcome("full queue", c, o)
			mu.Lock()
			defer mu.Unlock()
			if o.code == resultcode.QueueFull {
				refused++
			}
		})
	}
	wait.Wait()
	if refused == 0 {
		s.t.Error("no request was refused because of a full queue")
	}
}

// checkPassedDeadline sends requests whose deadline passes while upstreams run them. A request that
// the host had too little time left to send must be refused as one that didn't run.
func (s *system) checkPassedDeadline() {
	s.t.Helper()
	s.setEngineFaults(engine.Faults{StallMs: 1500})
	s.setServiceFaults(service.Faults{SlowMs: 1500})
	calls := refusalCalls("passed")
	for name, o := range s.sendAll(calls, 300*time.Millisecond) {
		s.checkOutcome("passed: "+name, calls[name], o)
		if o.err == nil {
			s.checkPassedCode("passed: "+name, o)
		}
	}
	s.setEngineFaults(engine.Faults{})
	s.setServiceFaults(service.Faults{})
}

// checkPassedCode checks that the code tells whether the request arrived at an upstream before its
// deadline: 1005 if it did, and if not 3003, or 5001 if its claim wasn't written in time. The caller can get
// the refusal before the upstream has read the request.
func (s *system) checkPassedCode(desc string, o outcome) {
	s.t.Helper()
	arrived := func() bool { return s.arrivalsOfRequest(o.id).heads > 0 }
	switch {
	case o.code == resultcode.DeadlineExpired:
		eventually(s.t, desc+": the request arrives at an upstream", arrived)
	case o.code == resultcode.DeadlineUnmeetable && o.runState == "not-run" && !arrived():
	case o.code == resultcode.StoreUnavailable && !arrived():
	default:
		s.t.Errorf("%s: code %d, run state %s, arrived: %t", desc, o.code, o.runState, arrived())
	}
}

// lateClaim is how long the platform takes to write a claim in checkLateClaims: so long that less of
// the deadline is left than a request is expected to take.
const lateClaim = 220 * time.Millisecond

// checkLateClaims sends keyed requests whose claims are written shortly before their deadlines. None
// may arrive at an upstream.
func (s *system) checkLateClaims() {
	s.t.Helper()
	s.addPlatformFaults(platformd.Faults{DelayMS: pointer(lateClaim.Milliseconds())})
	defer s.clearPlatformFaults()
	calls := refusalCalls("late")
	for name, o := range s.sendAll(calls, 300*time.Millisecond) {
		if calls[name].header["Quetzalweir-Request-Key"] == "" {
			continue
		}
		s.checkOutcome("late: "+name, calls[name], o)
		if o.err != nil || o.code == resultcode.DeadlineExpired {
			s.t.Errorf("late: %s: code %d, %v", name, o.code, o.err)
			continue
		}
		s.checkPassedCode("late: "+name, o)
	}
}

// checkRepeatAfterDisconnect has a caller disconnect while the service runs its bid.
// A repetition of the bid must never be refused as not run.
func (s *system) checkRepeatAfterDisconnect(h *entryHost) {
	s.t.Helper()
	s.setServiceFaults(service.Faults{SlowMs: 2000})
	defer s.setServiceFaults(service.Faults{})
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	c := bid("gone", `{}`)
	first := make(chan outcome)
	go func() { first <- c.outcome(ctx, h) }()
	eventually(s.t, "the service runs the bid", func() bool { return s.runsOfKey("gone") > 0 })
	disconnect()
	if o := <-first; o.err == nil {
		s.t.Errorf("the caller got an answer with code %d before it disconnected", o.code)
	}
	eventually(s.t, "the repetition gets a definite answer", func() bool {
		o := c.outcome(context.Background(), h)
		if o.runState == "not-run" {
			s.t.Errorf("the repetition was refused with %d as not run", o.code)
		}
		return o.code == resultcode.EarlierOutcomeUnknown || o.code == resultcode.OK
	})
	if s.runsOfKey("gone") != 1 {
		s.t.Errorf("the bid ran %d times", s.runsOfKey("gone"))
	}
}

// checkWithoutTable cuts the host's connections to the table. A bid must be refused
// without delay and must not arrive at the service.
func (s *system) checkWithoutTable(h *entryHost) {
	s.t.Helper()
	h.toPlatform.cutAll()
	c := bid("no table", `{}`)
	o := c.withDeadline(longDeadline).outcome(context.Background(), h)
	s.checkOutcome("no table", c, o)
	if got := s.arrivalsOfRequest(o.id); got.heads > 0 || o.code != resultcode.StoreUnavailable {
		s.t.Errorf("code %d, arrived %+v", o.code, got)
	}
	h.toPlatform.heal()
	s.waitReady()
	s.retryRefused(map[string]call{"no table": c}, map[string]outcome{"no table": o})
}

// checkDeadUpstreams kills the engines during a stream, and then the services. The
// stream must not look complete, and no refusal of a later request may imply that the
// request arrived.
func (s *system) checkDeadUpstreams(h *entryHost) {
	s.t.Helper()
	long := chat("large", "dead tokens=4000", true).withDeadline(longDeadline)
	before := s.runsOf("large@v1")
	done := make(chan outcome)
	go func() { done <- long.outcome(context.Background(), h) }()
	eventually(s.t, "the stream runs", func() bool { return s.runsOf("large@v1") > before })
	for _, e := range s.engines {
		e.kill()
	}
	o := <-done
	// If the engine is killed after the first byte, the stream is broken off. Before that, the
	// caller gets an error status and the run state "ran". The answer must never look complete.
	reported := o.err == nil && o.status == http.StatusBadGateway && o.code == resultcode.AnswerIncomplete && o.runState == "ran"
	if o.err == nil && !reported || o.took >= refusalBound {
		s.t.Errorf("the stream ended with %v in %v: status %d, code %d, run state %s", o.err, o.took, o.status, o.code, o.runState)
	}
	for _, svc := range s.services {
		svc.kill()
	}
	for name, c := range refusalCalls("dead") {
		o := c.withDeadline(longDeadline).outcome(context.Background(), h)
		// Nothing can arrive at a killed process.
		for _, f := range checkRefusal(o, arrivalCounts{}, c.header["Quetzalweir-Request-Key"] != "") {
			s.t.Errorf("dead: %s: %s", name, f)
		}
	}
}
