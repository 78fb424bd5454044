package history

import (
	"fmt"
	"slices"
	"time"
)

// Configurations checks that accepted manifests form one line of epochs, that
// no host goes back to an earlier one, and that each is in force on every host
// within bound, except on those that are impaired or gone meanwhile.
func Configurations(events []Event, bound time.Duration) []Violation {
	return slices.Concat(
		epochs(events),
		reverts(events),
		late(events, bound),
	)
}

// epochs checks that an epoch belongs to one manifest, and that a manifest
// submitted after another's acceptance has a higher epoch.
func epochs(events []Event) []Violation {
	digests := make(map[uint64]string)
	// highest is the highest epoch accepted so far; floor is what it was when
	// a manifest was submitted.
	var highest uint64
	floor := make(map[string]uint64)
	var found []Violation
	for _, e := range events {
		switch e.Kind {
		case ManifestSubmitted:
			if _, again := floor[e.Digest]; !again {
				floor[e.Digest] = highest
			}
		case ManifestAccepted:
			other, taken := digests[e.Epoch]
			switch {
			case taken && other != e.Digest:
				found = append(found, Violation{RuleConfig, e, "two manifests with one epoch"})
			case !taken && e.Epoch <= floor[e.Digest]:
				found = append(found, Violation{RuleConfig, e, "epoch isn't above that of an earlier acceptance"})
			}
			digests[e.Epoch] = e.Digest
			highest = max(highest, e.Epoch)
		}
	}
	return found
}

// reverts checks the epochs that each host works by, its own word and its
// answers' word, also over restarts under the same name.
func reverts(events []Event) []Violation {
	byID, _ := requests(events)
	current := make(map[string]uint64)
	// atSending is the epoch that a request's host had when it was sent.
	atSending := make(map[string]uint64)
	var found []Violation
	for _, e := range events {
		switch e.Kind {
		case InForce:
			if e.Epoch < current[e.Host] {
				found = append(found, Violation{RuleConfig, e, fmt.Sprintf("%s went back from epoch %d to %d", e.Host, current[e.Host], e.Epoch)})
			}
			current[e.Host] = max(current[e.Host], e.Epoch)
		case RequestSent:
			atSending[e.RequestID] = current[e.Host]
		case CallerAnswered:
			r := byID[e.RequestID]
			if r != nil && e.Epoch != 0 && e.Host == r.sent.Host && e.Epoch < atSending[e.RequestID] {
				found = append(found, Violation{RuleConfig, e, fmt.Sprintf("answered under epoch %d after epoch %d was in force", e.Epoch, atSending[e.RequestID])})
			}
		}
	}
	return found
}

// late checks that manifests come into force in time.
func late(events []Event, bound time.Duration) []Violation {
	if len(events) == 0 {
		return nil
	}
	end := events[len(events)-1].At
	hosts := hostSpans(events)
	var found []Violation
	for _, e := range events {
		if e.Kind != ManifestAccepted || e.At+bound > end {
			continue
		}
		for _, h := range hosts {
			if h.able(e.At, e.At+bound) && !h.reached(e.Epoch, e.At+bound) {
				found = append(found, Violation{RuleConfig, e, fmt.Sprintf("epoch %d isn't in force on %s after %v", e.Epoch, h.name, bound)})
			}
		}
	}
	return found
}

// span is a time from begin to end.
type span struct{ begin, end time.Duration }

// hostSpan is the life of one host, from its start to its end.
type hostSpan struct {
	name     string
	life     span
	impaired []span
	inForce  []Event
}

// endless is the end of a span whose end isn't recorded.
const endless = time.Duration(1<<63 - 1)

func hostSpans(events []Event) []*hostSpan {
	var list []*hostSpan
	current := make(map[string]*hostSpan)
	for _, e := range events {
		h := current[e.Host]
		if e.Kind == HostStarted {
			h = &hostSpan{name: e.Host, life: span{e.At, endless}}
			current[e.Host] = h
			list = append(list, h)
		}
		if h != nil {
			h.note(e)
		}
	}
	return list
}

func (h *hostSpan) note(e Event) {
	switch e.Kind {
	case InForce:
		h.inForce = append(h.inForce, e)
	case HostStopping, HostGone:
		h.life.end = min(h.life.end, e.At)
	case HostImpaired:
		h.impaired = append(h.impaired, span{e.At, endless})
	case HostHealed:
		if n := len(h.impaired); n > 0 {
			h.impaired[n-1].end = min(h.impaired[n-1].end, e.At)
		}
	}
}

// able reports whether the host was there and sound from begin to end.
func (h *hostSpan) able(begin, end time.Duration) bool {
	if h.life.begin > begin || h.life.end < end {
		return false
	}
	return !slices.ContainsFunc(h.impaired, func(s span) bool {
		return s.begin <= end && begin <= s.end
	})
}

// reached reports whether the host worked by the epoch or a later one in time.
func (h *hostSpan) reached(epoch uint64, by time.Duration) bool {
	return slices.ContainsFunc(h.inForce, func(e Event) bool {
		return e.Epoch >= epoch && e.At <= by
	})
}
