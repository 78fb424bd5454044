package exchange

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/quetzalweir/quetzalweir/fairshare"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// AccountUse holds the engine time that client accounts requested and received, by the hash of the
// service. Like Timings, it is sent only in one of exchangesPerTimings exchanges.
type AccountUse map[IDHash][]fairshare.AccountUse

const (
	// accountUseHeaderSize is the size of a service's header in bytes, before base64: the hash of
	// the service and the number of accounts. accountUseEntrySize is that of an account: its hash
	// and two rates.
	accountUseHeaderSize = 4 + 2
	accountUseEntrySize  = 4 + 2*rateSize
	// rateSize is the size of a rate in bytes: the first 24 bits of a float32, which have a relative
	// error of at most 1/65,536. With 16 bits it would be 1/256, and errors of what accounts requested
	// and received could add up to a visible difference between the two.
	rateSize = 3
	// maxReportsWithoutUse is the number of reports without use after which a host's former use doesn't
	// count any more although the host still reports: it has no use to report. One exchange with use may
	// fail before. Reports are counted because an exchange may take much longer than Interval.
	maxReportsWithoutUse = 2 * exchangesPerTimings
)

var errAccountUse = errors.New("exchange: the use of accounts can't be decoded")

// MarshalJSON implements json.Marshaler.
func (u AccountUse) MarshalJSON() ([]byte, error) {
	var packed []byte
	for _, service := range slices.Sorted(maps.Keys(u)) {
		packed = binary.BigEndian.AppendUint32(packed, uint32(service))
		packed = binary.BigEndian.AppendUint16(packed, uint16(len(u[service])))
		for _, account := range u[service] {
			packed = binary.BigEndian.AppendUint32(packed, uint32(account.Account))
			packed = appendRate(appendRate(packed, account.Demand), account.Received)
		}
	}
	return marshalPacked(packed)
}

func appendRate(packed []byte, rate float64) []byte {
	bits := math.Float32bits(float32(rate))
	const dropped = 32 - 8*rateSize
	if rounded := bits + 1<<(dropped-1); !math.IsInf(float64(math.Float32frombits(rounded)), 0) {
		bits = rounded
	}
	return append(packed, byte(bits>>24), byte(bits>>16), byte(bits>>8))
}

func decodeRate(packed []byte) float64 {
	return float64(math.Float32frombits(uint32(packed[0])<<24 | uint32(packed[1])<<16 | uint32(packed[2])<<8))
}

// UnmarshalJSON implements json.Unmarshaler. It leaves out accounts whose rates aren't valid.
func (u *AccountUse) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, 1)
	if err != nil {
		return err
	}
	*u = make(AccountUse)
	for len(packed) > 0 {
		if len(packed) < accountUseHeaderSize {
			return fmt.Errorf("%w: %d bytes instead of a service", errAccountUse, len(packed))
		}
		service, size := IDHash(binary.BigEndian.Uint32(packed)), accountUseEntrySize*int(binary.BigEndian.Uint16(packed[4:]))
		packed = packed[accountUseHeaderSize:]
		if len(packed) < size {
			return fmt.Errorf("%w: %d bytes of accounts instead of %d", errAccountUse, len(packed), size)
		}
		for entry := range slices.Chunk(packed[:size], accountUseEntrySize) {
			account := fairshare.AccountUse{
				Account: fairshare.AccountID(binary.BigEndian.Uint32(entry)),
				Demand:  decodeRate(entry[4:]), Received: decodeRate(entry[4+rateSize:]),
			}
			if valid, ok := account.Valid(); ok {
				(*u)[service] = append((*u)[service], valid)
			}
		}
		packed = packed[size:]
	}
	return nil
}

// bounded returns the use with at most fairshare.MaxReported accounts of all services together,
// besides the rest of each service. Services without use are left out.
func (u AccountUse) bounded() AccountUse {
	bounded := make(AccountUse, len(u))
	for service, list := range u {
		if list = fairshare.Largest(list, fairshare.MaxReported/max(1, len(u))); len(list) > 0 {
			bounded[service] = list
		}
	}
	return bounded
}

// hostAccountUse is the use that a host or another hub reported last, and the number of its reports
// without use since then.
type hostAccountUse struct {
	use               AccountUse
	reportsWithoutUse int
}

// recordAccountUse stores the use of a host or another hub under its key in the reports, in place
// of its previous one. The caller holds the lock.
func (h *hub) recordAccountUse(key string, u AccountUse) {
	if len(u) > 0 {
		h.accountUse[key] = hostAccountUse{use: u.bounded()}
		return
	}
	if last, ok := h.accountUse[key]; ok {
		last.reportsWithoutUse++
		h.accountUse[key] = last
	}
}

// otherAccountUse returns the sums over the use of all hosts except self.
func (h *hub) otherAccountUse(self string, to audience) AccountUse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	sums := make(map[IDHash]map[fairshare.AccountID]fairshare.AccountUse)
	for key, reported := range h.accountUse {
		received, ok := h.reports[key]
		if !ok || reported.reportsWithoutUse > maxReportsWithoutUse {
			delete(h.accountUse, key)
			continue
		}
		if key != self && to.includes(received) {
			addAccountUse(sums, reported.use)
		}
	}
	use := make(AccountUse, len(sums))
	for service, accounts := range sums {
		use[service] = slices.Collect(maps.Values(accounts))
	}
	return use.bounded()
}

func addAccountUse(sums map[IDHash]map[fairshare.AccountID]fairshare.AccountUse, u AccountUse) {
	for service, list := range u {
		if sums[service] == nil {
			sums[service] = make(map[fairshare.AccountID]fairshare.AccountUse, len(list))
		}
		for _, account := range list {
			sum := sums[service][account.Account]
			sum.Account = account.Account
			sum.Add(account)
			sums[service][account.Account] = sum
		}
	}
}

// previousHubDroppedUse reports whether no hub counts the use that this host sent to its previous
// hub any more: that hub dropped it after MaxWorkAge, and has reported its sums again since.
func (m *Member) previousHubDroppedUse() bool {
	return boottime.Since(m.hubChosenAt) > MaxWorkAge+exchangesPerTimings*Interval
}

// nextAccountUse returns this host's use for the next report. It is empty for some time after this
// host changed its hub, so that no use counts twice.
func (m *Member) nextAccountUse() AccountUse {
	if m.options.AccountUse == nil || !m.previousHubDroppedUse() {
		return nil
	}
	return m.options.AccountUse().bounded()
}

// deliverAccountUse passes the sums over the other hosts' use to OnAccountUse.
func (m *Member) deliverAccountUse(u AccountUse) {
	if m.options.OnAccountUse != nil && len(u) > 0 {
		m.options.OnAccountUse(u)
	}
}

var (
	_ json.Marshaler   = AccountUse{}
	_ json.Unmarshaler = (*AccountUse)(nil)
)
