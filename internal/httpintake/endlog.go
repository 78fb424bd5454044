package httpintake

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/intake"
	"github.com/quetzalweir/quetzalweir/internal/wait"
)

// endReason is why a connection or a request was ended.
type endReason string

const (
	// reasonRejected is that the host has no connection or memory left for a new connection.
	reasonRejected endReason = "rejected"
	// reasonMemory is that there is no memory for a head.
	reasonMemory endReason = "no-memory"
	// reasonYielded is that other connections need the memory or the connection.
	reasonYielded  endReason = "yielded"
	reasonTooLarge endReason = "too-large"
	reasonTimeout  endReason = "timeout"
)

const (
	// endLogInterval is the time between two log lines of the same kind of end.
	endLogInterval = time.Second
	// maxLoggedAddresses bounds the addresses that are counted for a log line.
	maxLoggedAddresses = 32
)

// endRecord is a kind of end.
type endRecord struct {
	listener string
	stage    intake.Stage
	reason   endReason
}

// endLog counts the connections and requests that were ended, and logs them in a bounded number of lines.
type endLog struct {
	log     zerolog.Logger
	metrics *metrics.Set
	prefix  string

	mu sync.Mutex
	// recent has the ends since the last lines.
	recent map[endRecord]*recentEnds
}

type recentEnds struct {
	count int
	// byAddress counts the ends of some callers by their IP.
	byAddress map[string]int
}

// record counts the end of a connection to a caller.
func (e *endLog) record(r endRecord, caller net.Addr) {
	e.metrics.GetOrCreateCounter(fmt.Sprintf(`%sintake_ended_total{listener=%q,stage=%q,reason=%q}`, e.prefix, r.listener, r.stage, string(r.reason))).Inc()
	ip, _, err := net.SplitHostPort(caller.String())
	if err != nil {
		ip = caller.String()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ends := e.recent[r]
	if ends == nil {
		ends = &recentEnds{byAddress: make(map[string]int)}
		if e.recent == nil {
			e.recent = make(map[endRecord]*recentEnds)
		}
		e.recent[r] = ends
	}
	ends.count++
	if _, known := ends.byAddress[ip]; known || len(ends.byAddress) < maxLoggedAddresses {
		ends.byAddress[ip]++
	}
}

func (e *endLog) run(ctx context.Context) { wait.Every(ctx, endLogInterval, e.write) }

// write logs the ends since the last call, a line for each kind, with the address of most of them.
func (e *endLog) write() {
	e.mu.Lock()
	recent := e.recent
	e.recent = nil
	e.mu.Unlock()
	for r, ends := range recent {
		address, most := "", 0
		for ip, n := range ends.byAddress {
			if n > most {
				address, most = ip, n
			}
		}
		e.log.Warn().Str("event", "intake-ended").Str("listener", r.listener).Stringer("stage", r.stage).Str("reason", string(r.reason)).
			Int("count", ends.count).Int("addresses", len(ends.byAddress)).Str("address", address).Int("from_address", most).Msg("")
	}
}
