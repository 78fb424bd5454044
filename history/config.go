package history

import (
	"fmt"
	"slices"
	"time"
)

// CheckConfigurations checks that accepted manifests have unique, increasing
// epochs, that no host reverts to an earlier epoch, and that each manifest is in
// force on every host within bound, except on hosts that are impaired or gone
// during that period.
func CheckConfigurations(events []Event, bound time.Duration) []Violation {
	return slices.Concat(
		checkEpochs(events),
		checkReverts(events),
		checkInForce(events, bound),
	)
}

// checkEpochs checks that an epoch belongs to one manifest, and that a manifest
// submitted after another's acceptance has a higher epoch.
func checkEpochs(events []Event) []Violation {
	digests := make(map[uint64]string)
	// highest is the highest epoch accepted so far; highestAtSubmission holds
	// its value when each manifest was first submitted.
	var highest uint64
	highestAtSubmission := make(map[string]uint64)
	var found []Violation
	for _, e := range events {
		switch e.Kind {
		case ManifestSubmitted:
			if _, again := highestAtSubmission[e.Digest]; !again {
				highestAtSubmission[e.Digest] = highest
			}
		case ManifestAccepted:
			other, taken := digests[e.Epoch]
			switch {
			case taken && other != e.Digest:
				found = append(found, Violation{RuleConfig, e, "two manifests with one epoch"})
			case !taken && e.Epoch <= highestAtSubmission[e.Digest]:
				found = append(found, Violation{RuleConfig, e, "epoch isn't above that of an earlier acceptance"})
			}
			digests[e.Epoch] = e.Digest
			highest = max(highest, e.Epoch)
		}
	}
	return found
}

// checkReverts checks that the epoch of each host never decreases, in its own
// reports and in its answers, including after restarts under the same name.
func checkReverts(events []Event) []Violation {
	byID, _ := requestsByID(events)
	current := make(map[string]uint64)
	// epochAtSend is the epoch in force on a request's host when the request was
	// sent.
	epochAtSend := make(map[string]uint64)
	var found []Violation
	for _, e := range events {
		switch e.Kind {
		case InForce:
			if e.Epoch < current[e.Host] {
				found = append(found, Violation{RuleConfig, e, fmt.Sprintf("%s reverted from epoch %d to %d", e.Host, current[e.Host], e.Epoch)})
			}
			current[e.Host] = max(current[e.Host], e.Epoch)
		case RequestSent:
			epochAtSend[e.RequestID] = current[e.Host]
		case CallerAnswered:
			r := byID[e.RequestID]
			if r != nil && e.Epoch != 0 && e.Host == r.sent.Host && e.Epoch < epochAtSend[e.RequestID] {
				found = append(found, Violation{RuleConfig, e, fmt.Sprintf("answered under epoch %d after epoch %d was in force", e.Epoch, epochAtSend[e.RequestID])})
			}
		}
	}
	return found
}

// checkInForce checks that each manifest is in force on all available hosts
// within bound.
func checkInForce(events []Event, bound time.Duration) []Violation {
	if len(events) == 0 {
		return nil
	}
	end := events[len(events)-1].At
	hosts := hostLifetimes(events)
	var found []Violation
	for _, e := range events {
		if e.Kind != ManifestAccepted || e.At+bound > end {
			continue
		}
		for _, h := range hosts {
			if h.available(e.At, e.At+bound) && !h.appliedEpoch(e.Epoch, e.At+bound) {
				found = append(found, Violation{RuleConfig, e, fmt.Sprintf("epoch %d isn't in force on %s after %v", e.Epoch, h.name, bound)})
			}
		}
	}
	return found
}

// interval is the time from begin to end.
type interval struct{ begin, end time.Duration }

// hostLifetime holds what was recorded of one host from its start to its end.
type hostLifetime struct {
	name     string
	running  interval
	impaired []interval
	inForce  []Event
}

// openEnd is the end of an interval whose end isn't recorded.
const openEnd = time.Duration(1<<63 - 1)

func hostLifetimes(events []Event) []*hostLifetime {
	var list []*hostLifetime
	current := make(map[string]*hostLifetime)
	for _, e := range events {
		h := current[e.Host]
		if e.Kind == HostStarted {
			h = &hostLifetime{name: e.Host, running: interval{e.At, openEnd}}
			current[e.Host] = h
			list = append(list, h)
		}
		if h != nil {
			h.add(e)
		}
	}
	return list
}

func (h *hostLifetime) add(e Event) {
	switch e.Kind {
	case InForce:
		h.inForce = append(h.inForce, e)
	case HostStopping, HostGone:
		h.running.end = min(h.running.end, e.At)
	case HostImpaired:
		h.impaired = append(h.impaired, interval{e.At, openEnd})
	case HostHealed:
		if n := len(h.impaired); n > 0 {
			h.impaired[n-1].end = min(h.impaired[n-1].end, e.At)
		}
	}
}

// available reports whether the host was running and never impaired from begin
// to end.
func (h *hostLifetime) available(begin, end time.Duration) bool {
	if h.running.begin > begin || h.running.end < end {
		return false
	}
	return !slices.ContainsFunc(h.impaired, func(s interval) bool {
		return s.begin <= end && begin <= s.end
	})
}

// appliedEpoch reports whether the epoch or a later one was in force on the host
// by the given time.
func (h *hostLifetime) appliedEpoch(epoch uint64, by time.Duration) bool {
	return slices.ContainsFunc(h.inForce, func(e Event) bool {
		return e.Epoch >= epoch && e.At <= by
	})
}
