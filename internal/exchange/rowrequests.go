package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// A hub whose own calls of the store fail or take long may have older tables than hosts that report
// to it. It then requests the changes that it lacks from one of these hosts, and passes them on to
// the others. The host sends them with its next reports, in parts if they are large.

// rowRequestExpiry is the time without a report from the requested host after which the hub may
// request the changes from another one.
const rowRequestExpiry = 3 * Interval

// TableRequest is a hub's request for the changes of a table that the reporting host has.
type TableRequest struct {
	// Since is the newest revision that the hub has.
	Since storage.Revision `json:"since"`
	// Deltas reports that the hub accepts deltas of large rows.
	Deltas bool `json:"deltas,omitempty"`
	// Part is the position in the update that the hub is receiving in parts; nil if it isn't.
	Part *PartPosition `json:"part,omitempty"`
	// LinkMbps is the bandwidth of the hub's network link in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// rowRequest is the state of a hub's requests for the changes of one table.
type rowRequest struct {
	// behindSince is when a host first reported changes that the hub lacks.
	behindSince time.Time
	// host is the host that the changes are requested from, or "". reportedAt is the time of its last
	// report.
	host       string
	reportedAt time.Time
}

// tableRequests returns the requests for the host that sent the report: for each table of which it
// has changes that this hub lacks, unless this hub's own call will soon bring them, or another host
// is sending them.
func (h *hub) tableRequests(from string, r Report) map[string]TableRequest {
	requests := make(map[string]TableRequest)
	for name, watcher := range h.tables {
		known := watcher.Revision()
		behindFor := h.behindFor(name, from, r.Revisions[name] > max(known, h.unchangedUpTo(name)))
		if behindFor < 0 || !watcher.NeedsRows(behindFor) || !h.requestFrom(name, from) {
			continue
		}
		request := TableRequest{Since: known, Deltas: watcher.AcceptsDeltas(), LinkMbps: h.linkMbps}
		if position, ok := h.incomingPosition(name); ok {
			request.Part = &position
		}
		requests[name] = request
	}
	return requests
}

// behindFor returns for how long this hub has lacked changes of the table that other hosts have, or a
// negative duration if the host that reports now has none. newer reports whether it has.
func (h *hub) behindFor(table, from string, newer bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	request := h.rowRequests[table]
	switch {
	case !newer && request != nil && (request.host == from || request.host == ""):
		delete(h.rowRequests, table)
		delete(h.incoming, table)
		return -1
	case !newer:
		return -1
	case request == nil:
		request = &rowRequest{behindSince: boottime.Now()}
		h.rowRequests[table] = request
	}
	return boottime.Since(request.behindSince)
}

// unchangedUpTo returns the revision up to which another host has no changes that this hub lacks. The
// store's revision rises with each change of any table.
func (h *hub) unchangedUpTo(table string) storage.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unchanged[table]
}

// requestFrom makes the host the one that sends the changes of the table, unless another one does.
func (h *hub) requestFrom(table, from string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	request := h.rowRequests[table]
	if request == nil || request.host != "" && request.host != from && boottime.Since(request.reportedAt) < rowRequestExpiry {
		return false
	}
	if request.host != from {
		h.log.Info().Str("event", "rows-requested").Str("table", table).Str("from", from).
			Int64("behind_ms", boottime.Since(request.behindSince).Milliseconds()).Msg("")
	}
	request.host, request.reportedAt = from, boottime.Now()
	return true
}

// incomingPosition returns the position in the changes of the table that are sent in parts.
func (h *hub) incomingPosition(table string) (position PartPosition, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	position, ok = h.incoming.positions()[table]
	return position, ok
}

// receiveRequested passes the changes that the host sent on request to the watchers.
func (h *hub) receiveRequested(from string, updates map[string]TableUpdate) {
	for table, update := range updates {
		h.mu.Lock()
		request := h.rowRequests[table]
		if request == nil || request.host != from {
			h.mu.Unlock()
			continue // the request has ended
		}
		decoded, err := h.incoming.receive(table, update)
		if decoded.Complete && !decoded.HasRows() {
			h.unchanged[table] = max(h.unchanged[table], decoded.Revision)
		}
		h.mu.Unlock()
		if err != nil {
			h.log.Error().Str("event", "transfer-failed").Str("table", table).Str("from", from).Err(err).Msg("")
		}
		h.tables[table].OfferRows(decoded)
	}
}

// requestedUpdates returns what a report to the hub at the address contains of the changes that the
// hub requested.
func (h *hub) requestedUpdates(address string, requests map[string]TableRequest) map[string]TableUpdate {
	if len(requests) == 0 {
		return nil
	}
	updates := make(map[string]TableUpdate)
	messageBytes := maxTableBytes
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		watcher, request := h.tables[name], requests[name]
		if watcher == nil || watcher.Revision() <= request.Since {
			continue
		}
		budget := int(min(float64(messageBytes), min(bytesPerSecond(h.linkMbps), bytesPerSecond(request.LinkMbps))*maxTransferDuration.Seconds()/base64Factor))
		update, ok := smallestUpdate(watcher, request.Since, request.Deltas, budget)
		switch {
		case !ok:
		case update.PackedBytes() <= budget && (update.Complete || update.IsSnapshot):
			updates[name] = encodeUpdate(update)
			messageBytes -= update.PackedBytes()
		default:
			updates[name] = h.partOf(address, name, request.receiver(name), update, messageBytes)
			if part := updates[name].Part; part != nil {
				messageBytes -= len(part.Content)
			}
		}
	}
	return updates
}

// receiver returns a report by which the hub can be sent the requested changes in parts, as a host that
// reports here is.
func (r *TableRequest) receiver(table string) Report {
	report := Report{Revisions: map[string]storage.Revision{table: r.Since}, AcceptsParts: true, LinkMbps: r.LinkMbps}
	if r.Part != nil {
		report.Parts = map[string]PartPosition{table: *r.Part}
	}
	return report
}
