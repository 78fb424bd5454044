package history

import (
	"testing"
	"time"
)

const bound = 3 * time.Second

func TestPermitted(t *testing.T) {
	check := func(events []Event) []Violation { return Permitted(events, bound) }
	runCases(t, check, []checkCase{
		{"permitted", []Event{accept(1, "a", v1), sent("r1"), arrived("r1", v1)}, ""},
		{"not permitted", []Event{accept(1, "a", v1), sent("r1"), arrived("r1", v2)}, `account "clydegate" isn't permitted quote@v2`},
		{"no manifest yet", []Event{sent("r1"), arrived("r1", v1), accept(1, "a", v1)}, `account "clydegate" isn't permitted quote@v1`},
		{"the old manifest within the bound", []Event{accept(1, "a", v1), accept(2, "b", v2), sent("r1"), arrived("r1", v1)}, ""},
		{"the old manifest after the bound", []Event{accept(1, "a", v1), accept(2, "b", v2), at(9*time.Second, sent("r1")), arrived("r1", v1)}, `account "clydegate" isn't permitted quote@v1`},
		{"sent in time, arrived long after", []Event{accept(1, "a", v1), accept(2, "b", v2), sent("r1"), at(time.Minute, arrived("r1", v1))}, ""},
		{"in force before its acceptance was seen", []Event{submitted("a"), sent("r1"), arrived("r1", v1), accept(1, "a", v1)}, ""},
		{"permitted but withdrawn", []Event{withdrawing(accept(1, "a", v1), v1), sent("r1"), arrived("r1", v1)}, `account "clydegate" isn't permitted quote@v1`},
		{"another account's permission", []Event{accept(1, "a", v1), {Kind: RequestSent, RequestID: "r1", Account: "valley"}, arrived("r1", v1)}, `account "valley" isn't permitted quote@v1`},
		{"nobody's request", []Event{accept(1, "a", v1), arrived("r1", v1)}, "arrival of a request that nobody sent"},
		{"plain service", []Event{sent("r1"), arrived("r1", Version{})}, ""},
	})
}

func TestWithdrawnWork(t *testing.T) {
	check := func(events []Event) []Violation { return WithdrawnWork(events, bound) }
	first, second := accept(1, "a", v1, v2), withdrawing(accept(2, "b", v2), v1)
	runCases(t, check, []checkCase{
		{"other version", []Event{first, second, at(time.Minute, arrived("r1", v2))}, ""},
		{"within the bound", []Event{first, second, arrived("r1", v1)}, ""},
		{"after the bound, sent before", []Event{first, sent("r1"), second, at(6*time.Second, arrived("r1", v1))}, "quote@v1 is withdrawn"},
		{"withdrawn from the start", []Event{withdrawing(accept(1, "a"), v1), arrived("r1", v1)}, "quote@v1 is withdrawn"},
		{"brought back by a third manifest", []Event{first, second, submitted("c"), at(6*time.Second, arrived("r1", v1)), accept(3, "c", v1)}, ""},
	})
}

func TestSessions(t *testing.T) {
	both := accept(1, "a", v1, v2)
	runCases(t, Sessions, []checkCase{
		{"kept", []Event{both, inSession("r1"), answeredBy("r1", v1), inSession("r2"), answeredBy("r2", v1)}, ""},
		{"left", []Event{both, inSession("r1"), answeredBy("r1", v1), inSession("r2"), answeredBy("r2", v2)}, `session "s1" went from version v1 to v2`},
		{"left and back", []Event{both, inSession("r1"), answeredBy("r1", v1), inSession("r2"), inSession("r3"), answeredBy("r2", v1), answeredBy("r3", v2)}, `session "s1" went from version v1 to v2`},
		{"requests at once", []Event{both, inSession("r1"), inSession("r2"), answeredBy("r1", v1), answeredBy("r2", v2)}, ""},
		{"version withdrawn", []Event{both, inSession("r1"), answeredBy("r1", v1), withdrawing(accept(2, "b", v2), v1), inSession("r2"), answeredBy("r2", v2)}, ""},
		{"withdrawn before the first answer already", []Event{withdrawing(accept(1, "a", v2), v1), inSession("r1"), answeredBy("r1", v1), inSession("r2"), answeredBy("r2", v2)}, `session "s1" went from version v1 to v2`},
		{"no session", []Event{both, sent("r1"), answeredBy("r1", v1), sent("r2"), answeredBy("r2", v2)}, ""},
		{"refusal without a version", []Event{both, inSession("r1"), answeredBy("r1", v1), inSession("r2"), refused("r2", 3001, "not-run")}, ""},
	})
}

func TestBilledOnce(t *testing.T) {
	failed := billed("r1", "r1")
	failed.Code, failed.CostMicro = 4002, 0
	other := billed("r1", "r1")
	other.Account = "valley"
	runCases(t, BilledOnce, []checkCase{
		{"whole answer", []Event{sent("r1"), arrived("r1", v1), answered("r1"), billed("r1", "r1")}, ""},
		{"whole answer without a bill", []Event{sent("r1"), arrived("r1", v1), answered("r1")}, "a whole answer wasn't billed"},
		{"two bills", []Event{sent("r1"), answered("r1"), billed("r1", "r1"), billed("r1", "r1")}, "billed 2 times"},
		{"other account", []Event{sent("r1"), answered("r1"), other}, "billed to another account"},
		{"repeat with a key, one bill", []Event{keyed("r1", "k"), lost("r1"), keyed("r2", "k"), answered("r2"), billed("clydegate/k", "r2")}, ""},
		{"repeat with a key, a bill each", []Event{keyed("r1", "k"), answered("r1"), keyed("r2", "k"), answered("r2"), billed("clydegate/k", "r1"), billed("clydegate/k", "r2")}, "billed 2 times"},
		{"one key, a bill ID each", []Event{withBill("r1", "a"), answered("r1"), withBill("r2", "b"), answered("r2"), billed("a", "r1"), billed("b", "r2")}, ""},
		{"two bill IDs for one request", []Event{keyed("r1", "k"), answered("r1"), billed("clydegate/k", "r1"), billed("r1", "r1")}, "billed 2 times"},
		{"failure without a charge", []Event{sent("r1"), arrived("r1", v1), refused("r1", 4002, "may-have-run"), failed}, ""},
		{"failure without a bill", []Event{sent("r1"), arrived("r1", v1), refused("r1", 4002, "may-have-run")}, "a dispatched request has no bill"},
		{"failure with a charge", []Event{sent("r1"), arrived("r1", v1), refused("r1", 4002, "may-have-run"), billed("r1", "r1")}, "a failed request has a charge"},
		{"whole answer billed as a failure", []Event{sent("r1"), answered("r1"), failed}, "a whole answer is billed as a failure"},
		{"refusal", []Event{sent("r1"), refused("r1", 3001, "not-run")}, ""},
		{"refusal with a bill", []Event{sent("r1"), refused("r1", 3001, "not-run"), failed}, "billed although nothing was sent"},
		{"lost, billed or not", []Event{sent("r1"), lost("r1"), sent("r2"), lost("r2"), billed("r2", "r2")}, ""},
		{"nobody's bill", []Event{billed("r1", "r1")}, "bill of a request that nobody sent"},
	})
}

func TestWholeOwnAnswers(t *testing.T) {
	expecting := sent("r1")
	expecting.Digest = "answer-r1"
	crossed := answered("r1")
	crossed.Digest = "answer-r2"
	runCases(t, WholeOwnAnswers, []checkCase{
		{"own", []Event{sent("r1"), ran("r1"), answered("r1")}, ""},
		{"expected", []Event{expecting, answered("r1")}, ""},
		{"other than expected", []Event{expecting, ran("r1"), crossed}, "answer of another request, or not whole"},
		{"crossed", []Event{sent("r1"), sent("r2"), ran("r1"), ran("r2"), crossed}, "answer of another request, or not whole"},
		{"made by no upstream", []Event{sent("r1"), answered("r1")}, "answer of another request, or not whole"},
		{"kept for a repeat", []Event{keyed("r2", "k"), ran("r2"), keyed("r1", "k"), crossed}, ""},
		{"failure", []Event{sent("r1"), ran("r1"), refused("r1", 4003, "ran")}, ""},
		{"lost", []Event{sent("r1"), ran("r1"), lost("r1")}, ""},
		{"answered twice", []Event{sent("r1"), ran("r1"), answered("r1"), answered("r1")}, "second answer"},
		{"nobody's", []Event{answered("r1")}, "answer to a request that nobody sent"},
	})
}

func TestTruthfulRefusals(t *testing.T) {
	no := refused("r1", 5006, "not-run")
	detail := "told not run, but an upstream saw it"
	runCases(t, TruthfulRefusals, []checkCase{
		{"true", []Event{sent("r1"), no}, ""},
		{"arrived before", []Event{sent("r1"), arrived("r1", v1), no}, detail},
		{"arrived after", []Event{sent("r1"), no, arrived("r1", v1)}, detail},
		{"ran", []Event{sent("r1"), ran("r1"), no}, detail},
		{"says that it may have run", []Event{sent("r1"), arrived("r1", v1), refused("r1", 4002, "may-have-run")}, ""},
		{"earlier request with the key ran", []Event{keyed("r0", "k"), ran("r0"), keyed("r1", "k"), no}, ""},
	})
}

func TestTruthfulRepeats(t *testing.T) {
	no := refused("r1", 3001, "not-run")
	runCases(t, TruthfulRepeats, []checkCase{
		{"earlier request with the key ran", []Event{keyed("r0", "k"), ran("r0"), keyed("r1", "k"), no}, "told not run, but an earlier request with the key arrived"},
		{"later request with the key ran", []Event{keyed("r1", "k"), no, keyed("r0", "k"), ran("r0")}, ""},
		{"other key", []Event{keyed("r0", "j"), ran("r0"), keyed("r1", "k"), no}, ""},
	})
}

func TestAtMostOnce(t *testing.T) {
	idempotent := sent("r1")
	idempotent.Idempotent = true
	runCases(t, AtMostOnce, []checkCase{
		{"once", []Event{keyed("r1", "k"), ran("r1")}, ""},
		{"twice", []Event{keyed("r1", "k"), ran("r1"), ran("r1")}, `"clydegate/k": run 2`},
		{"repeat ran too", []Event{keyed("r1", "k"), ran("r1"), keyed("r2", "k"), ran("r2")}, `"clydegate/k": run 2`},
		{"other key", []Event{keyed("r1", "k"), ran("r1"), keyed("r2", "j"), ran("r2")}, ""},
		{"idempotent", []Event{idempotent, ran("r1"), ran("r1")}, ""},
	})
}

func TestLeavingWork(t *testing.T) {
	check := func(events []Event) []Violation { return LeavingWork(events, bound) }
	leave, live := Event{Kind: UpstreamLeaving, Upstream: "u1"}, Event{Kind: UpstreamLive, Upstream: "u1"}
	runCases(t, check, []checkCase{
		{"within the bound", []Event{leave, at(bound, arrived("r1", v1))}, ""},
		{"after the bound", []Event{leave, at(bound+1, arrived("r1", v1))}, "u1 had been leaving for 3.000000001s"},
		{"said again", []Event{leave, leave, leave, leave, arrived("r1", v1)}, "u1 had been leaving for 4s"},
		{"came back", []Event{leave, live, at(time.Minute, arrived("r1", v1))}, ""},
		{"another leaves", []Event{{Kind: UpstreamLeaving, Upstream: "u2"}, at(time.Minute, arrived("r1", v1))}, ""},
	})
}

func TestPlannedStops(t *testing.T) {
	stopping, gone := host(HostStopping, "h0"), host(HostGone, "h0")
	runCases(t, PlannedStops, []checkCase{
		{"finished", []Event{sent("r1"), stopping, answered("r1"), gone}, ""},
		{"no result", []Event{sent("r1"), stopping, gone}, "no result"},
		{"connection lost", []Event{sent("r1"), stopping, lost("r1"), gone}, "connection lost"},
		{"fault", []Event{sent("r1"), stopping, refused("r1", 5006, "not-run"), gone}, "result code 5006"},
		{"matter of the request", []Event{sent("r1"), stopping, refused("r1", 3001, "not-run"), gone}, ""},
		{"lost before the stop", []Event{sent("r1"), lost("r1"), stopping, gone}, ""},
		{"refused after the stop began", []Event{stopping, sent("r1"), refused("r1", 5006, "not-run"), gone}, ""},
		{"killed, not stopped", []Event{sent("r1"), gone, lost("r1")}, ""},
	})
}

func TestConfigurations(t *testing.T) {
	check := func(events []Event) []Violation { return Configurations(events, bound) }
	start, end := host(HostStarted, "h0"), at(time.Minute, host(HostGone, "h0"))
	old := answered("r1")
	old.Epoch = 1
	missed := "epoch 1 isn't in force on h0 after 3s"
	runCases(t, check, []checkCase{
		{"in force in time", []Event{start, accept(1, "a"), inForce("h0", 1), end}, ""},
		{"never in force", []Event{start, accept(1, "a"), end}, missed},
		{"in force too late", []Event{start, accept(1, "a"), at(5*time.Second, inForce("h0", 1)), end}, missed},
		{"its successor in force", []Event{start, accept(1, "a"), accept(2, "b"), inForce("h0", 2), end}, ""},
		{"host gone", []Event{start, accept(1, "a"), host(HostGone, "h0"), host(HostGone, "h0"), end}, ""},
		{"host impaired", []Event{start, accept(1, "a"), host(HostImpaired, "h0"), end}, ""},
		{"host healed before", []Event{start, host(HostImpaired, "h0"), host(HostHealed, "h0"), accept(1, "a"), end}, missed},
		{"record too short to tell", []Event{start, accept(1, "a")}, ""},
		{"reverts", []Event{inForce("h0", 2), inForce("h0", 1)}, "h0 went back from epoch 2 to 1"},
		{"reverts over a restart", []Event{inForce("h0", 2), host(HostGone, "h0"), start, inForce("h0", 1)}, "h0 went back from epoch 2 to 1"},
		{"hosts differ", []Event{inForce("h0", 2), inForce("h1", 1)}, ""},
		{"answers under an old epoch", []Event{inForce("h0", 2), sent("r1"), old}, "answered under epoch 1 after epoch 2 was in force"},
		{"sent before the new epoch", []Event{sent("r1"), inForce("h0", 2), old}, ""},
		{"two manifests, one epoch", []Event{accept(1, "a"), accept(1, "b")}, "two manifests with one epoch"},
		{"later manifest, lower epoch", []Event{submitted("a"), accept(2, "a"), submitted("b"), accept(1, "b")}, "epoch isn't above that of an earlier acceptance"},
		{"manifests at once", []Event{submitted("a"), submitted("b"), accept(2, "a"), accept(1, "b")}, ""},
		{"acceptance seen twice", []Event{submitted("a"), accept(1, "a"), accept(1, "a")}, ""},
	})
}

// TestCheck runs all checkers over one history that breaks every rule.
func TestCheck(t *testing.T) {
	events := record(
		inForce("h0", 2), inForce("h0", 1),
		accept(1, "a", v1), withdrawing(accept(2, "b"), v2),
		Event{Kind: UpstreamLeaving, Upstream: "u1"},
		inSession("r1"), answeredBy("r1", v1), inSession("r2"), answeredBy("r2", v2),
		keyed("r3", "k"), ran("r3"), ran("r3"), refused("r3", 3001, "not-run"),
		sent("r4"), host(HostStopping, "h0"), at(time.Minute, arrived("r4", v2)),
	)
	seen := make(map[Rule]bool)
	for _, v := range Check(events, Bounds{}) {
		seen[v.Rule] = true
	}
	for _, rule := range []Rule{RulePermitted, RuleWithdrawn, RuleSession, RuleBilledOnce, RuleAnswer, RuleTruthful, RuleAtMostOnce, RuleLeaving, RuleStop, RuleConfig} {
		if !seen[rule] {
			t.Errorf("%s: no violation", rule)
		}
	}
}
