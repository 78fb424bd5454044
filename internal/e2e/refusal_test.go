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
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// arrived is what the upstreams got of one request: heads read, and runs.
type arrived struct {
	heads, runs int
}

// arrivedOf sums over all upstreams and attempts.
func (s *system) arrivedOf(requestID string) arrived {
	s.t.Helper()
	e, svc := s.engineArrivals()[requestID], s.serviceArrivals()[requestID]
	return arrived{heads: e.Heads + svc.Heads, runs: e.Began + svc.Runs}
}

// outcome is a caller's answer in the terms of the promises.
type outcome struct {
	answer
	err      error
	took     time.Duration
	code     resultcode.Code
	runState string
	id       string
}

// farDeadline is a deadline that no refusal of the test may wait for, and
// atOnce is far below it.
const (
	farDeadline = 25 * time.Second
	atOnce      = 10 * time.Second
)

func (c call) patient(d time.Duration) call {
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

// checkRefusal compares what a caller was told with what the upstreams got.
// claimed says that the request may run only once.
func checkRefusal(o outcome, got arrived, claimed bool) []string {
	var found []string
	report := func(format string, args ...any) {
		found = append(found, fmt.Sprintf("%d %s: ", int(o.code), o.runState)+fmt.Sprintf(format, args...))
	}
	if o.took >= atOnce {
		report("told after %v, with a deadline of %v", o.took, farDeadline)
	}
	spec := resultcode.Lookup(o.code)
	if o.code == resultcode.OK || o.status != spec.Status {
		report("status %d: %s", o.status, o.body)
	}
	if comeBack := o.get("Retry-After") != ""; comeBack != helpsToComeBack(o, claimed) {
		report("told to come back: %t", comeBack)
	}
	switch o.runState {
	case "not-run":
		if got.heads > 0 {
			report("the request arrived: %+v", got)
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

// helpsToComeBack says whether a refused request can be served later.
func helpsToComeBack(o outcome, claimed bool) bool {
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

// The checker finds what it is for.
func TestCheckRefusalRejects(t *testing.T) {
	good := func(code resultcode.Code, runState, retryAfter string) outcome {
		o := outcome{code: code, runState: runState}
		o.status = resultcode.Lookup(code).Status
		o.header = http.Header{"Retry-After": {retryAfter}}
		return o
	}
	slow := good(resultcode.QueueFull, "not-run", "1")
	slow.took = atOnce
	status := good(resultcode.QueueFull, "not-run", "1")
	status.status = http.StatusOK
	tests := []struct {
		desc    string
		o       outcome
		got     arrived
		claimed bool
		want    int
	}{
		{desc: "good refusal", o: good(resultcode.QueueFull, "not-run", "1")},
		{desc: "good refusal of what broke off", o: good(resultcode.AnswerIncomplete, "ran", ""), got: arrived{1, 1}, claimed: true},
		{desc: "it arrived", o: good(resultcode.QueueFull, "not-run", "1"), got: arrived{heads: 1}, want: 1},
		{desc: "no time to come back", o: good(resultcode.QueueFull, "not-run", ""), want: 1},
		{desc: "never run again", o: good(resultcode.UpstreamRefused, "may-have-run", "1"), got: arrived{heads: 1}, claimed: true, want: 1},
		{desc: "may be repeated", o: good(resultcode.OutcomeUnknown, "may-have-run", ""), got: arrived{heads: 1}, want: 1},
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

// refusalCase is a fault under which requests are refused, or answered whole.
type refusalCase struct {
	desc string
	// engines and services are the faults in force.
	engines  engine.Faults
	services service.Faults
	// gone says that the upstreams don't come back, and others take their place.
	gone bool
}

func refusalCases() []refusalCase {
	var cases []refusalCase
	const everyTime = 1000
	for _, at := range cut.Boundaries() {
		plan := cut.Plan{At: at, Times: everyTime, Frames: 2}
		cases = append(cases, refusalCase{desc: string(at), engines: engine.Faults{Cut: plan}, services: service.Faults{Cut: plan}})
	}
	leaving := refusalCase{desc: "leaving", engines: engine.Faults{Leaving: true}, services: service.Faults{Leaving: true}, gone: true}
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

// TestRefusalsAreTrue cuts connections to engines and services at each
// boundary, and has them leave, with a far deadline. What a caller is told is
// compared with what arrived, and a caller that is told to come back is served
// when it does, after the fault.
func TestRefusalsAreTrue(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2)
	s.addService("lanes-2", "zone-b")
	s.submit(devenv.Manifest())
	s.waitUpstreams()
	for _, test := range refusalCases() {
		s.engineFaults(test.engines)
		s.serviceFaults(test.services)
		calls := refusalCalls(test.desc)
		outcomes := s.sendAll(calls, farDeadline)
		if test.gone {
			s.addEngine("engine-new", "zone-a")
			s.addService("lanes-new", "zone-a")
		} else {
			s.engineFaults(engine.Faults{})
			s.serviceFaults(service.Faults{})
		}
		for name, o := range outcomes {
			s.checkOutcome(test.desc+": "+name, calls[name], o)
		}
		s.comeBack(calls, outcomes)
	}
}

// sendAll sends all calls at once.
func (s *system) sendAll(calls map[string]call, deadline time.Duration) map[string]outcome {
	outcomes := map[string]outcome{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for name, c := range calls {
		wait.Go(func() {
			o := c.patient(deadline).outcome(context.Background(), s.hosts[0])
			mu.Lock()
			defer mu.Unlock()
			outcomes[name] = o
		})
	}
	wait.Wait()
	return outcomes
}

// checkOutcome accepts a whole answer and a true refusal.
func (s *system) checkOutcome(desc string, c call, o outcome) {
	s.t.Helper()
	got := s.arrivedOf(o.id)
	s.t.Logf("%s: status %d code %d %s, retry after %q, in %v, arrived %+v", desc, o.status, o.code, o.runState, o.get("Retry-After"), o.took.Round(time.Millisecond), got)
	if o.err != nil {
		// A stream that broke off: its end mark is missing.
		if o.took >= atOnce {
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

// comeBack sends again what the caller was told to come back with.
func (s *system) comeBack(calls map[string]call, outcomes map[string]outcome) {
	s.t.Helper()
	for name, o := range outcomes {
		if o.err != nil || o.get("Retry-After") == "" {
			continue
		}
		eventually(s.t, name+" is served after coming back", func() bool {
			again := calls[name].outcome(context.Background(), s.hosts[0])
			return again.err == nil && again.status == http.StatusOK && again.code == resultcode.OK
		})
	}
}

// TestRefusalsOfHosts has the host itself refuse: an expired deadline, a full
// queue, a caller that leaves, a table that can't be reached, and upstreams
// that are dead.
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
	s.fullQueue(small)
	s.passedDeadline()
	s.callerGone(h)
	s.noTable(h)
	s.deadUpstreams(h)
}

// fullQueue sends more to a host than it runs and queues.
func (s *system) fullQueue(h *entryHost) {
	s.t.Helper()
	var wait sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range 8 {
		wait.Go(func() {
			c := chat("large", fmt.Sprintf("full %d tokens=400", i), false)
			o := c.patient(farDeadline).outcome(context.Background(), h)
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
		s.t.Error("no request met a full queue")
	}
}

// passedDeadline has deadlines pass while requests are with upstreams.
func (s *system) passedDeadline() {
	s.t.Helper()
	s.engineFaults(engine.Faults{StallMs: 1500})
	s.serviceFaults(service.Faults{SlowMs: 1500})
	calls := refusalCalls("passed")
	for name, o := range s.sendAll(calls, 300*time.Millisecond) {
		s.checkOutcome("passed: "+name, calls[name], o)
		if o.err == nil && o.code != resultcode.DeadlineExpired {
			s.t.Errorf("passed: %s: code %d", name, o.code)
		}
	}
	s.engineFaults(engine.Faults{})
	s.serviceFaults(service.Faults{})
}

// callerGone has a caller leave with its bid in the service. Its repeat is
// never told that the bid wasn't run.
func (s *system) callerGone(h *entryHost) {
	s.t.Helper()
	s.serviceFaults(service.Faults{SlowMs: 800})
	defer s.serviceFaults(service.Faults{})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	c := bid("gone", `{}`)
	_ = c.outcome(ctx, h)
	if s.runsOfKey("gone") != 1 {
		s.t.Errorf("the bid ran %d times", s.runsOfKey("gone"))
	}
	eventually(s.t, "the repeat has a definite answer", func() bool {
		o := c.outcome(context.Background(), h)
		if o.runState == "not-run" {
			s.t.Errorf("the repeat is told %d not-run", o.code)
		}
		return o.code == resultcode.EarlierOutcomeUnknown || o.code == resultcode.OK
	})
	if s.runsOfKey("gone") != 1 {
		s.t.Errorf("the bid ran %d times", s.runsOfKey("gone"))
	}
}

// noTable cuts the host from the table. Bids are refused at once and nothing
// of them arrives.
func (s *system) noTable(h *entryHost) {
	s.t.Helper()
	h.toPlatform.cutAll()
	c := bid("no table", `{}`)
	o := c.patient(farDeadline).outcome(context.Background(), h)
	s.checkOutcome("no table", c, o)
	if got := s.arrivedOf(o.id); got.heads > 0 || o.code != resultcode.StoreUnavailable {
		s.t.Errorf("code %d, arrived %+v", o.code, got)
	}
	h.toPlatform.heal()
	s.waitReady()
	s.comeBack(map[string]call{"no table": c}, map[string]outcome{"no table": o})
}

// deadUpstreams kills the engines within a stream and the service, and then
// sends to them.
func (s *system) deadUpstreams(h *entryHost) {
	s.t.Helper()
	long := chat("large", "dead tokens=4000", true).patient(farDeadline)
	before := s.runsOf("large@v1")
	done := make(chan outcome)
	go func() { done <- long.outcome(context.Background(), h) }()
	eventually(s.t, "the stream runs", func() bool { return s.runsOf("large@v1") > before })
	for _, e := range s.engines {
		e.kill()
	}
	o := <-done
	// Killed after its first byte the stream breaks off. Before that the caller is told by a
	// status, and that the request ran; never is it told a whole answer.
	told := o.err == nil && o.status == http.StatusBadGateway && o.code == resultcode.AnswerIncomplete && o.runState == "ran"
	if o.err == nil && !told || o.took >= atOnce {
		s.t.Errorf("the stream ended with %v in %v: status %d, code %d, run state %s", o.err, o.took, o.status, o.code, o.runState)
	}
	for _, svc := range s.services {
		svc.kill()
	}
	for name, c := range refusalCalls("dead") {
		o := c.patient(farDeadline).outcome(context.Background(), h)
		// Nothing arrives at a process that is gone.
		for _, f := range checkRefusal(o, arrived{}, c.header["Quetzalweir-Request-Key"] != "") {
			s.t.Errorf("dead: %s: %s", name, f)
		}
	}
}
