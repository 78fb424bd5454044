package history

import (
	"testing"
	"time"
)

const bound = 3 * time.Second

func TestCheckPermissions(t *testing.T) {
	check := func(events []Event) []Violation { return CheckPermissions(events, bound) }
	runCases(t, check, []checkCase{
		{"permitted", []Event{accepted(1, "a", v1), sent("r1"), arrived("r1", v1)}, ""},
		{"not permitted", []Event{accepted(1, "a", v1), sent("r1"), arrived("r1", v2)}, `account "clydegate" isn't permitted quote@v2`},
		{"no manifest yet", []Event{sent("r1"), arrived("r1", v1), accepted(1, "a", v1)}, `account "clydegate" isn't permitted quote@v1`},
		{"the old manifest within the bound", []Event{accepted(1, "a", v1), accepted(2, "b", v2), sent("r1"), arrived("r1", v1)}, ""},
		{"the old manifest after the bound", []Event{accepted(1, "a", v1), accepted(2, "b", v2), at(9*time.Second, sent("r1")), arrived("r1", v1)}, `account "clydegate" isn't permitted quote@v1`},
		{"sent in time, arrived long after", []Event{accepted(1, "a", v1), accepted(2, "b", v2), sent("r1"), at(time.Minute, arrived("r1", v1))}, ""},
		{"in force before its acceptance was recorded", []Event{submitted("a"), sent("r1"), arrived("r1", v1), accepted(1, "a", v1)}, ""},
		{"permitted but withdrawn", []Event{withdrawing(accepted(1, "a", v1), v1), sent("r1"), arrived("r1", v1)}, `account "clydegate" isn't permitted quote@v1`},
		{"another account's permission", []Event{accepted(1, "a", v1), {Kind: RequestSent, RequestID: "r1", Account: "valley"}, arrived("r1", v1)}, `account "valley" isn't permitted quote@v1`},
		{"unknown request", []Event{accepted(1, "a", v1), arrived("r1", v1)}, "arrival of a request that was not sent"},
		{"plain service", []Event{sent("r1"), arrived("r1", Version{})}, ""},
	})
}

func TestCheckWithdrawn(t *testing.T) {
	check := func(events []Event) []Violation { return CheckWithdrawn(events, bound) }
	first, second := accepted(1, "a", v1, v2), withdrawing(accepted(2, "b", v2), v1)
	runCases(t, check, []checkCase{
		{"other version", []Event{first, second, at(time.Minute, arrived("r1", v2))}, ""},
		{"within the bound", []Event{first, second, arrived("r1", v1)}, ""},
		{"after the bound, sent before", []Event{first, sent("r1"), second, at(6*time.Second, arrived("r1", v1))}, "quote@v1 is withdrawn"},
		{"withdrawn from the start", []Event{withdrawing(accepted(1, "a"), v1), arrived("r1", v1)}, "quote@v1 is withdrawn"},
		{"permitted again by a third manifest", []Event{first, second, submitted("c"), at(6*time.Second, arrived("r1", v1)), accepted(3, "c", v1)}, ""},
	})
}

func TestCheckSessions(t *testing.T) {
	both := accepted(1, "a", v1, v2)
	runCases(t, CheckSessions, []checkCase{
		{"kept", []Event{both, sentInSession("r1"), answeredBy("r1", v1), sentInSession("r2"), answeredBy("r2", v1)}, ""},
		{"left", []Event{both, sentInSession("r1"), answeredBy("r1", v1), sentInSession("r2"), answeredBy("r2", v2)}, `session "s1" changed from version v1 to v2`},
		{"left and returned", []Event{both, sentInSession("r1"), answeredBy("r1", v1), sentInSession("r2"), sentInSession("r3"), answeredBy("r2", v1), answeredBy("r3", v2)}, `session "s1" changed from version v1 to v2`},
		{"requests at once", []Event{both, sentInSession("r1"), sentInSession("r2"), answeredBy("r1", v1), answeredBy("r2", v2)}, ""},
		{"version withdrawn", []Event{both, sentInSession("r1"), answeredBy("r1", v1), withdrawing(accepted(2, "b", v2), v1), sentInSession("r2"), answeredBy("r2", v2)}, ""},
		{"withdrawn before the first answer already", []Event{withdrawing(accepted(1, "a", v2), v1), sentInSession("r1"), answeredBy("r1", v1), sentInSession("r2"), answeredBy("r2", v2)}, `session "s1" changed from version v1 to v2`},
		{"no session", []Event{both, sent("r1"), answeredBy("r1", v1), sent("r2"), answeredBy("r2", v2)}, ""},
		{"refusal without a version", []Event{both, sentInSession("r1"), answeredBy("r1", v1), sentInSession("r2"), refused("r2", 3001, "not-run")}, ""},
	})
}

func TestCheckBilling(t *testing.T) {
	failed := billed("r1", "r1")
	failed.Code, failed.CostMicro = 4002, 0
	other := billed("r1", "r1")
	other.Account = "valley"
	runCases(t, CheckBilling, []checkCase{
		{"complete answer", []Event{sent("r1"), arrived("r1", v1), answered("r1"), billed("r1", "r1")}, ""},
		{"complete answer without a bill", []Event{sent("r1"), arrived("r1", v1), answered("r1")}, "a complete answer wasn't billed"},
		{"two bills", []Event{sent("r1"), answered("r1"), billed("r1", "r1"), billed("r1", "r1")}, "billed 2 times"},
		{"other account", []Event{sent("r1"), answered("r1"), other}, "billed to another account"},
		{"duplicate with a key, one bill", []Event{sentWithKey("r1", "k"), lost("r1"), sentWithKey("r2", "k"), answered("r2"), billed("clydegate/k", "r2")}, ""},
		{"duplicate with a key, a bill each", []Event{sentWithKey("r1", "k"), answered("r1"), sentWithKey("r2", "k"), answered("r2"), billed("clydegate/k", "r1"), billed("clydegate/k", "r2")}, "billed 2 times"},
		{"one key, a bill ID each", []Event{sentWithBillID("r1", "a"), answered("r1"), sentWithBillID("r2", "b"), answered("r2"), billed("a", "r1"), billed("b", "r2")}, ""},
		{"two bill IDs for one request", []Event{sentWithKey("r1", "k"), answered("r1"), billed("clydegate/k", "r1"), billed("r1", "r1")}, "billed 2 times"},
		{"failure without a charge", []Event{sent("r1"), arrived("r1", v1), refused("r1", 4002, "may-have-run"), failed}, ""},
		{"failure without a bill", []Event{sent("r1"), arrived("r1", v1), refused("r1", 4002, "may-have-run")}, "a dispatched request has no bill"},
		{"failure with a charge", []Event{sent("r1"), arrived("r1", v1), refused("r1", 4002, "may-have-run"), billed("r1", "r1")}, "a failed request has a charge"},
		{"complete answer billed as a failure", []Event{sent("r1"), answered("r1"), failed}, "a complete answer is billed as a failure"},
		{"refusal", []Event{sent("r1"), refused("r1", 3001, "not-run")}, ""},
		{"refusal with a bill", []Event{sent("r1"), refused("r1", 3001, "not-run"), failed}, "billed although the request wasn't dispatched"},
		{"lost, billed or not", []Event{sent("r1"), lost("r1"), sent("r2"), lost("r2"), billed("r2", "r2")}, ""},
		{"bill of an unknown request", []Event{billed("r1", "r1")}, "bill of a request that was not sent"},
	})
}

func TestCheckAnswers(t *testing.T) {
	expecting := sent("r1")
	expecting.Digest = "answer-r1"
	crossed := answered("r1")
	crossed.Digest = "answer-r2"
	runCases(t, CheckAnswers, []checkCase{
		{"own", []Event{sent("r1"), ran("r1"), answered("r1")}, ""},
		{"expected", []Event{expecting, answered("r1")}, ""},
		{"other than expected", []Event{expecting, ran("r1"), crossed}, "answer of another request, or incomplete"},
		{"crossed", []Event{sent("r1"), sent("r2"), ran("r1"), ran("r2"), crossed}, "answer of another request, or incomplete"},
		{"produced by no upstream", []Event{sent("r1"), answered("r1")}, "answer of another request, or incomplete"},
		{"kept for a duplicate", []Event{sentWithKey("r2", "k"), ran("r2"), sentWithKey("r1", "k"), crossed}, ""},
		{"failure", []Event{sent("r1"), ran("r1"), refused("r1", 4003, "ran")}, ""},
		{"lost", []Event{sent("r1"), ran("r1"), lost("r1")}, ""},
		{"answered twice", []Event{sent("r1"), ran("r1"), answered("r1"), answered("r1")}, "second answer"},
		{"nobody's", []Event{answered("r1")}, "answer to a request that was not sent"},
	})
}

func TestCheckRefusals(t *testing.T) {
	no := refused("r1", 5006, "not-run")
	detail := "reported as not run, but an upstream received it"
	runCases(t, CheckRefusals, []checkCase{
		{"true", []Event{sent("r1"), no}, ""},
		{"arrived before", []Event{sent("r1"), arrived("r1", v1), no}, detail},
		{"arrived after", []Event{sent("r1"), no, arrived("r1", v1)}, detail},
		{"ran", []Event{sent("r1"), ran("r1"), no}, detail},
		{"reported as may have run", []Event{sent("r1"), arrived("r1", v1), refused("r1", 4002, "may-have-run")}, ""},
		{"earlier request with the key ran", []Event{sentWithKey("r0", "k"), ran("r0"), sentWithKey("r1", "k"), no}, ""},
	})
}

func TestCheckDuplicateRefusals(t *testing.T) {
	no := refused("r1", 3001, "not-run")
	runCases(t, CheckDuplicateRefusals, []checkCase{
		{"earlier request with the key ran", []Event{sentWithKey("r0", "k"), ran("r0"), sentWithKey("r1", "k"), no}, "reported as not run, but an earlier request with the key arrived"},
		{"later request with the key ran", []Event{sentWithKey("r1", "k"), no, sentWithKey("r0", "k"), ran("r0")}, ""},
		{"other key", []Event{sentWithKey("r0", "j"), ran("r0"), sentWithKey("r1", "k"), no}, ""},
	})
}

func TestCheckAtMostOnce(t *testing.T) {
	idempotent := sent("r1")
	idempotent.Idempotent = true
	runCases(t, CheckAtMostOnce, []checkCase{
		{"once", []Event{sentWithKey("r1", "k"), ran("r1")}, ""},
		{"twice", []Event{sentWithKey("r1", "k"), ran("r1"), ran("r1")}, `"clydegate/k": run 2`},
		{"duplicate ran too", []Event{sentWithKey("r1", "k"), ran("r1"), sentWithKey("r2", "k"), ran("r2")}, `"clydegate/k": run 2`},
		{"other key", []Event{sentWithKey("r1", "k"), ran("r1"), sentWithKey("r2", "j"), ran("r2")}, ""},
		{"idempotent", []Event{idempotent, ran("r1"), ran("r1")}, ""},
	})
}

func TestCheckLeaving(t *testing.T) {
	check := func(events []Event) []Violation { return CheckLeaving(events, bound) }
	leave, live := Event{Kind: UpstreamLeaving, Upstream: "u1"}, Event{Kind: UpstreamLive, Upstream: "u1"}
	runCases(t, check, []checkCase{
		{"within the bound", []Event{leave, at(bound, arrived("r1", v1))}, ""},
		{"after the bound", []Event{leave, at(bound+1, arrived("r1", v1))}, "u1 had been leaving for 3.000000001s"},
		{"signaled again", []Event{leave, leave, leave, leave, arrived("r1", v1)}, "u1 had been leaving for 4s"},
		{"came back", []Event{leave, live, at(time.Minute, arrived("r1", v1))}, ""},
		{"another leaves", []Event{{Kind: UpstreamLeaving, Upstream: "u2"}, at(time.Minute, arrived("r1", v1))}, ""},
	})
}

func TestCheckPlannedStops(t *testing.T) {
	stopping, gone := hostEvent(HostStopping, "h0"), hostEvent(HostGone, "h0")
	runCases(t, CheckPlannedStops, []checkCase{
		{"finished", []Event{sent("r1"), stopping, answered("r1"), gone}, ""},
		{"no result", []Event{sent("r1"), stopping, gone}, "no result"},
		{"connection lost", []Event{sent("r1"), stopping, lost("r1"), gone}, "connection lost"},
		{"fault", []Event{sent("r1"), stopping, refused("r1", 5006, "not-run"), gone}, "result code 5006"},
		{"refusal that is no fault", []Event{sent("r1"), stopping, refused("r1", 3001, "not-run"), gone}, ""},
		{"lost before the stop", []Event{sent("r1"), lost("r1"), stopping, gone}, ""},
		{"refused after the stop began", []Event{stopping, sent("r1"), refused("r1", 5006, "not-run"), gone}, ""},
		{"killed, not stopped", []Event{sent("r1"), gone, lost("r1")}, ""},
	})
}

func TestCheckConfigurations(t *testing.T) {
	check := func(events []Event) []Violation { return CheckConfigurations(events, bound) }
	start, end := hostEvent(HostStarted, "h0"), at(time.Minute, hostEvent(HostGone, "h0"))
	old := answered("r1")
	old.Epoch = 1
	missed := "epoch 1 isn't in force on h0 after 3s"
	runCases(t, check, []checkCase{
		{"in force in time", []Event{start, accepted(1, "a"), inForce("h0", 1), end}, ""},
		{"never in force", []Event{start, accepted(1, "a"), end}, missed},
		{"in force too late", []Event{start, accepted(1, "a"), at(5*time.Second, inForce("h0", 1)), end}, missed},
		{"its successor in force", []Event{start, accepted(1, "a"), accepted(2, "b"), inForce("h0", 2), end}, ""},
		{"host gone", []Event{start, accepted(1, "a"), hostEvent(HostGone, "h0"), hostEvent(HostGone, "h0"), end}, ""},
		{"host impaired", []Event{start, accepted(1, "a"), hostEvent(HostImpaired, "h0"), end}, ""},
		{"host healed before", []Event{start, hostEvent(HostImpaired, "h0"), hostEvent(HostHealed, "h0"), accepted(1, "a"), end}, missed},
		{"record shorter than the bound", []Event{start, accepted(1, "a")}, ""},
		{"reverts", []Event{inForce("h0", 2), inForce("h0", 1)}, "h0 reverted from epoch 2 to 1"},
		{"reverts after a restart", []Event{inForce("h0", 2), hostEvent(HostGone, "h0"), start, inForce("h0", 1)}, "h0 reverted from epoch 2 to 1"},
		{"hosts differ", []Event{inForce("h0", 2), inForce("h1", 1)}, ""},
		{"answers under an old epoch", []Event{inForce("h0", 2), sent("r1"), old}, "answered under epoch 1 after epoch 2 was in force"},
		{"sent before the new epoch", []Event{sent("r1"), inForce("h0", 2), old}, ""},
		{"two manifests, one epoch", []Event{accepted(1, "a"), accepted(1, "b")}, "two manifests with one epoch"},
		{"later manifest, lower epoch", []Event{submitted("a"), accepted(2, "a"), submitted("b"), accepted(1, "b")}, "epoch isn't above that of an earlier acceptance"},
		{"manifests at once", []Event{submitted("a"), submitted("b"), accepted(2, "a"), accepted(1, "b")}, ""},
		{"acceptance recorded twice", []Event{submitted("a"), accepted(1, "a"), accepted(1, "a")}, ""},
	})
}

// TestCheck runs all checkers over one history that breaks every rule.
func TestCheck(t *testing.T) {
	events := numbered(
		inForce("h0", 2), inForce("h0", 1),
		accepted(1, "a", v1), withdrawing(accepted(2, "b"), v2),
		Event{Kind: UpstreamLeaving, Upstream: "u1"},
		sentInSession("r1"), answeredBy("r1", v1), sentInSession("r2"), answeredBy("r2", v2),
		sentWithKey("r3", "k"), ran("r3"), ran("r3"), refused("r3", 3001, "not-run"),
		sent("r4"), hostEvent(HostStopping, "h0"), at(time.Minute, arrived("r4", v2)),
	)
	seen := make(map[Rule]bool)
	for _, v := range Check(events, Bounds{}) {
		seen[v.Rule] = true
	}
	for _, rule := range []Rule{RulePermitted, RuleWithdrawn, RuleSession, RuleBilledOnce, RuleAnswer, RuleTruthfulRefusal, RuleAtMostOnce, RuleLeaving, RulePlannedStop, RuleConfig} {
		if !seen[rule] {
			t.Errorf("%s: no violation", rule)
		}
	}
}
