package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// startStoppableSystem starts a system with two hosts and returns the second one, whose stops end after stopTimeout.
func startStoppableSystem(t *testing.T, stopTimeout time.Duration) (*system, *entryHost) {
	t.Helper()
	s := startSystem(t, 1)
	h := s.addHost("entry-stops", zone(1), "--stop-timeout="+stopTimeout.String())
	s.submit(devenv.Manifest())
	s.waitUpstreams()
	return s, h
}

// beginStop sends SIGTERM to the host and waits until it has begun to stop.
func (s *system) beginStop(h *entryHost) {
	s.t.Helper()
	h.signal(syscall.SIGTERM)
	h.waitForField("event=stopping", "event=")
}

// engineWith waits until an engine has an arrival that matches and returns the engine.
func (s *system) engineWith(desc string, matches func(engine.Arrival) bool) standin {
	s.t.Helper()
	var found standin
	eventually(s.t, desc, func() bool {
		for _, e := range s.engines {
			var list engine.Arrivals
			s.standinGet(e.address, "/arrivals", &list)
			for _, a := range list.Arrivals {
				if matches(a) {
					found = e
					return true
				}
			}
		}
		return false
	})
	return found
}

// sendInBackground sends the call and returns the channel of its outcome.
func sendInBackground(c call, h *entryHost) <-chan outcome {
	ended := make(chan outcome, 1)
	go func() { ended <- c.outcome(context.Background(), h) }()
	return ended
}

// billsOf waits for the bill of a request and returns all bills with its ID.
func (s *system) billsOf(h *entryHost, epoch uint64, requestID string) []ledger.Bill {
	s.t.Helper()
	var bills []ledger.Bill
	eventually(s.t, "the request is billed", func() bool {
		var trace entry.EpochTrace
		if s.operatorGet(h, fmt.Sprintf("/v1/trace/epochs/%d", epoch), &trace) != nil {
			return false
		}
		id := ""
		for _, b := range trace.Bills {
			if b.RequestID == requestID {
				id = b.ID
			}
		}
		bills = nil
		for _, b := range trace.Bills {
			if b.ID == id {
				bills = append(bills, b)
			}
		}
		return len(bills) > 0
	})
	return bills
}

// A repeatable call whose first attempt broke off in a planned stop was refused a second one, because calls of its route
// have no known duration on a fresh host, and its caller got 502 though other engines were free.
func TestBegunCallIsRefusedInAPlannedStop(t *testing.T) {
	tests := []struct {
		desc string
		// breakOff ends the attempt at the engine.
		breakOff func(s *system, e standin)
	}{
		{"the engine ends", func(_ *system, e standin) { e.kill() }},
		{"the connection is reset before the answer", func(s *system, e standin) {
			s.setFaults(e.address, engine.Faults{Cut: cut.Plan{At: cut.BeforeAnswer, Times: 1}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			s, h := startStoppableSystem(t, 5*time.Second)
			s.setEngineFaults(engine.Faults{StallMs: waitTimeout.Milliseconds()})
			ended := sendInBackground(chat("large", "what is lot 7", false).withDeadline(time.Minute), h)
			first := s.engineWith("an engine has read the call", func(a engine.Arrival) bool { return a.Bodies > 0 })
			s.beginStop(h)
			for _, e := range s.engines {
				if e.address != first.address {
					s.setFaults(e.address, engine.Faults{})
				}
			}
			tt.breakOff(s, first)
			o := <-ended
			is.NoErr(o.err)
			checkChat(t, o.answer, "large", "what is lot 7")
			is.Equal(h.waitForField("event=request ", "attempts="), "2")
			<-h.done
			is.NoErr(h.err)
		})
	}
}

// A cascade's cheap answer was whole and rated below the target when the stop ended the next step, and was lost: the caller
// got an error. It gets the cheap answer and pays for that step. A repeat with the same key runs again, since the keys of
// requests that may be repeated have no claim, and adds no second bill.
func TestCascadeAnswerIsLostAtTheEndOfAPlannedStop(t *testing.T) {
	tests := []struct {
		desc           string
		stream, forced bool
		stopTimeout    time.Duration
	}{
		{"whole answer", false, false, 2 * time.Second},
		{"stream", true, false, 2 * time.Second},
		{"second signal", false, true, time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			s, h := startStoppableSystem(t, tt.stopTimeout)
			bad := engine.VersionFault{Bad: true}
			s.setEngineFaults(engine.Faults{Versions: map[string]engine.VersionFault{"small@v1": bad, "small@v2": bad, "large@v1": {Slow: 1e6}}})
			c := chat("ask", "what is lot 7", tt.stream).withDeadline(2*time.Minute).with("Quetzalweir-Request-Key", "key-7")
			ended := sendInBackground(c, h)
			s.engineWith("the last step runs", func(a engine.Arrival) bool { return a.Model == "large@v1" && a.Began > 0 })
			s.beginStop(h)
			if tt.forced {
				h.signal(syscall.SIGTERM)
			}
			o := <-ended
			is.NoErr(o.err)
			is.Equal(o.status, http.StatusOK)
			is.Equal(o.get("Quetzalweir-Model"), "small")
			is.Equal(o.get("Quetzalweir-Below-Target"), "yes")
			is.Equal(contentOfAnswer(t, o.body), engine.ExpectedBadAnswer("small", o.get("Quetzalweir-Version"), "what is lot 7"))
			<-h.done
			epoch := s.epochOf(o.answer)
			bills := s.billsOf(s.hosts[0], epoch, o.id)
			is.Equal(len(bills), 1)
			is.Equal(len(bills[0].Steps), 1) // the step that was ended has no usage
			is.Equal(bills[0].Model, "small")
			is.Equal(bills[0].Code, 0)
			is.Equal(bills[0].CostMicro, expectedPrice(t, "small", o.body))

			s.setEngineFaults(engine.Faults{})
			again, err := c.send(s.hosts[0])
			is.NoErr(err)
			is.Equal(again.status, http.StatusOK)
			is.Equal(again.get("Quetzalweir-Replayed"), "")
			later, err := chat("small", "what is lot 8", false).send(s.hosts[0])
			is.NoErr(err)
			s.billsOf(s.hosts[0], epoch, later.get("Quetzalweir-Request-Id")) // the repeat's bill was written with this one or before it
			bills = s.billsOf(s.hosts[0], epoch, o.id)
			is.Equal(len(bills), 1)
			is.Equal(bills[0].RequestID, o.id)
		})
	}
}

// epochOf returns the epoch of the manifest that an answer names.
func (s *system) epochOf(a answer) uint64 {
	s.t.Helper()
	var epoch uint64
	if _, err := fmt.Sscan(a.get("Quetzalweir-Epoch"), &epoch); err != nil {
		s.t.Fatalf("epoch %q: %v", a.get("Quetzalweir-Epoch"), err)
	}
	return epoch
}

// A call to a cascade that may run once runs at one step. If its answer arrives in a planned stop, its claim must be finished
// before the host ends, so that a repeat with the same key replays the answer elsewhere and isn't billed.
func TestCascadeAnswerInAPlannedStopIsNotReplayed(t *testing.T) {
	is := is.New(t)
	s, h := startStoppableSystem(t, 20*time.Second)
	c := chat("ask", "what is lot 7 tokens=1500", false).withDeadline(time.Minute).
		with("Quetzalweir-Request-Key", "key-8").with("Quetzalweir-Repeatable", "no")
	ended := sendInBackground(c, h)
	s.engineWith("the step runs", func(a engine.Arrival) bool { return a.Began > 0 })
	s.beginStop(h)
	o := <-ended
	is.NoErr(o.err)
	is.Equal(o.status, http.StatusOK)
	<-h.done
	is.NoErr(h.err)
	again, err := c.send(s.hosts[0])
	is.NoErr(err)
	is.Equal(again.get("Quetzalweir-Replayed"), "yes")
	is.Equal(again.body, o.body)
	bills := s.billsOf(s.hosts[0], s.epochOf(o.answer), o.id)
	is.Equal(len(bills), 1)
	is.Equal(bills[0].CostMicro, expectedPrice(t, o.get("Quetzalweir-Model"), o.body))
}

// A chat stream whose connection to the engine breaks off in a planned stop must be resumed at the same engine, so that the
// caller gets each token once.
func TestBegunChatStreamIsCutInAPlannedStop(t *testing.T) {
	is := is.New(t)
	s, h := startStoppableSystem(t, 20*time.Second)
	s.setEngineFaults(engine.Faults{Cut: cut.Plan{At: cut.MidAnswer, Times: 1, Frames: 1500}})
	const prompt = "what is lot 7 tokens=2000"
	began := make(chan int, 1)
	c := chat("large", prompt, true).withDeadline(time.Minute)
	c.onHead = func(status int) { began <- status }
	ended := sendInBackground(c, h)
	is.Equal(<-began, http.StatusOK)
	s.beginStop(h)
	is.Equal(s.resumptions(), 0) // the connection breaks off in the stop
	o := <-ended
	is.NoErr(o.err)
	checkChat(t, o.answer, "large", prompt)
	is.Equal(s.resumptions(), 1)
	is.True(strings.HasSuffix(o.body, "data: [DONE]\n\n"))
	<-h.done
	is.NoErr(h.err)
}

// resumptions returns how many streams were resumed at the engines.
func (s *system) resumptions() int {
	s.t.Helper()
	n := 0
	for _, e := range s.engines {
		var list engine.Arrivals
		s.standinGet(e.address, "/arrivals", &list)
		for _, a := range list.Arrivals {
			n += a.Resumed
		}
	}
	return n
}

// Before a request that a stop ends is answered, its bill is replicated and its claim is written. With a slow table this took longer
// than the time for which connections stay open after the end of the stop, so that the caller got no answer at all.
func TestCallEndedByAPlannedStopGetsNoAnswerWhileTheTableIsSlow(t *testing.T) {
	is := is.New(t)
	s, h := startStoppableSystem(t, 2*time.Second)
	s.setServiceFaults(service.Faults{SlowMs: waitTimeout.Milliseconds()})
	ended := sendInBackground(bid("key-9", "bid").withDeadline(time.Minute), h)
	eventually(t, "the service runs the bid", func() bool { return s.runsOfKey("key-9") > 0 })
	s.beginStop(h)
	s.addPlatformFaults(platformd.Faults{DelayMS: pointer(int64(400))})
	o := <-ended
	is.NoErr(o.err)
	is.Equal(o.code, resultcode.OutcomeUnknown)
	is.Equal(o.runState, "may-have-run")
	<-h.done
	is.Equal(h.waitForField("event=cut", "requests="), "1")
}

// A cascade's answer was whole when the rater didn't answer until the end of a stop. The request isn't in an admission queue then,
// so the host didn't count it among those that it ended and didn't wait for its bill. The caller gets the answer and is billed.
func TestCascadeAnswerIsLostWhileTheRaterHangsInAPlannedStop(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1)
	h := s.addHost("entry-stops", zone(1), "--stop-timeout=1s") // shorter than the 2 s after which the platform client gives up
	s.submit(bytes.Replace(devenv.Manifest(), []byte(`"rater_timeout_ms": 500`), []byte(`"rater_timeout_ms": 20000`), 1))
	s.addPlatformFaults(platformd.Faults{RaterDelayMS: pointer(waitTimeout.Milliseconds())})
	ended := sendInBackground(chat("ask", "what is lot 7", false).withDeadline(time.Minute), h)
	s.engineWith("the first step has run", func(a engine.Arrival) bool { return a.Finished > 0 })
	s.beginStop(h)
	o := <-ended
	is.NoErr(o.err)
	is.Equal(o.status, http.StatusOK)
	is.Equal(o.get("Quetzalweir-Model"), "small")
	is.Equal(contentOfAnswer(t, o.body), engine.ExpectedAnswer("small", o.get("Quetzalweir-Version"), "what is lot 7"))
	<-h.done
	is.Equal(h.waitForField("event=cut", "requests="), "1")
	bills := s.billsOf(s.hosts[0], s.epochOf(o.answer), o.id)
	is.Equal(len(bills), 1)
	is.Equal(bills[0].CostMicro, expectedPrice(t, "small", o.body))
}
