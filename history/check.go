package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

// Rule is the name of a rule that a checker enforces.
type Rule string

// Rules, one for each checker.
const (
	RulePermitted       Rule = "permitted"
	RuleWithdrawn       Rule = "withdrawn"
	RuleSession         Rule = "session"
	RuleBilledOnce      Rule = "billed-once"
	RuleAnswer          Rule = "whole-own-answer"
	RuleTruthfulRefusal Rule = "truthful-refusal"
	RuleAtMostOnce      Rule = "at-most-once"
	RuleLeaving         Rule = "leaving"
	RulePlannedStop     Rule = "planned-stop"
	RuleConfig          Rule = "configuration"
)

// Violation describes an event, or the lack of one, that breaks a rule.
type Violation struct {
	Rule Rule
	// Event is the event that shows the violation.
	Event  Event
	Detail string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s: event %d (%s, request %q): %s", v.Rule, v.Event.Seq, v.Event.Kind, v.Event.RequestID, v.Detail)
}

// Default bounds.
const (
	// DefaultInForce is the default of Bounds.InForce.
	DefaultInForce = 5 * time.Second
	// DefaultLeaving is the default of Bounds.Leaving.
	DefaultLeaving = 5 * time.Second
)

// Bounds are the delays that the checkers allow.
type Bounds struct {
	// InForce is the maximum time from the acceptance of a manifest until it is
	// in force on all hosts; default DefaultInForce.
	InForce time.Duration
	// Leaving is the maximum time from an upstream's signal that it is leaving
	// until it receives no new work; default DefaultLeaving.
	Leaving time.Duration
}

func (b Bounds) withDefaults() Bounds {
	defaults.Positive(&b.InForce, DefaultInForce)
	defaults.Positive(&b.Leaving, DefaultLeaving)
	return b
}

// Check runs all checkers.
func Check(events []Event, bounds Bounds) []Violation {
	bounds = bounds.withDefaults()
	return slices.Concat(
		CheckPermissions(events, bounds.InForce),
		CheckWithdrawn(events, bounds.InForce),
		CheckSessions(events),
		CheckBilling(events),
		CheckAnswers(events),
		CheckRefusals(events),
		CheckAtMostOnce(events),
		CheckLeaving(events, bounds.Leaving),
		CheckPlannedStops(events),
		CheckConfigurations(events, bounds.InForce),
	)
}
