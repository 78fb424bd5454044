package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

// Rule names what a violation is of.
type Rule string

// Rules, one for each checker.
const (
	RulePermitted  Rule = "permitted"
	RuleWithdrawn  Rule = "withdrawn"
	RuleSession    Rule = "session"
	RuleBilledOnce Rule = "billed-once"
	RuleAnswer     Rule = "whole-own-answer"
	RuleTruthful   Rule = "truthful-refusal"
	RuleAtMostOnce Rule = "at-most-once"
	RuleLeaving    Rule = "leaving"
	RuleStop       Rule = "planned-stop"
	RuleConfig     Rule = "configuration"
)

// Violation is an event, or the lack of one, that breaks a rule.
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
	// DefaultInForce is how long a manifest may take to be in force on a host.
	DefaultInForce = 5 * time.Second
	// DefaultLeaving is how long an upstream that leaves may get new work.
	DefaultLeaving = 5 * time.Second
)

// Bounds are the times that the checkers allow.
type Bounds struct {
	// InForce is from the acceptance of a manifest until it is in force
	// everywhere; default DefaultInForce.
	InForce time.Duration
	// Leaving is from an upstream's word that it leaves until it gets no new
	// work; default DefaultLeaving.
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
		Permitted(events, bounds.InForce),
		WithdrawnWork(events, bounds.InForce),
		Sessions(events),
		BilledOnce(events),
		WholeOwnAnswers(events),
		TruthfulRefusals(events),
		AtMostOnce(events),
		LeavingWork(events, bounds.Leaving),
		PlannedStops(events),
		Configurations(events, bounds.InForce),
	)
}
