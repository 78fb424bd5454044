package platformd

import (
	"net/http"
	"time"
)

// Faults is the body of POST /faults. A field that is missing changes nothing.
// Times are in milliseconds.
type Faults struct {
	// Down is an outage of the table.
	Down *bool `json:"down,omitempty"`
	// DelayMS is how long each call to the table takes.
	DelayMS *int64 `json:"delay_ms,omitempty"`
	// LoseNext counts commits that take effect without an answer.
	LoseNext *int `json:"lose_next,omitempty"`
	// DropNext counts commits without effect and without an answer.
	DropNext *int `json:"drop_next,omitempty"`
	// DelayNext counts commits without an answer that take effect after
	// DelayNextMS.
	DelayNext   *int  `json:"delay_next,omitempty"`
	DelayNextMS int64 `json:"delay_next_ms,omitempty"`
	// ObjectsDown is an outage of the object store.
	ObjectsDown *bool `json:"objects_down,omitempty"`
	// LagMS is the lag of the host list.
	LagMS *int64 `json:"lag_ms,omitempty"`
	// RaterDown is an outage of the rater.
	RaterDown *bool `json:"rater_down,omitempty"`
	// RaterDelayMS is how long each rating takes.
	RaterDelayMS *int64 `json:"rater_delay_ms,omitempty"`
}

// SetFaults changes the faults.
func (s *Server) SetFaults(f Faults) {
	set(f.Down, s.table.SetDown)
	setTime(f.DelayMS, s.table.SetDelay)
	set(f.LoseNext, s.table.LoseNext)
	set(f.DropNext, s.table.DropNext)
	set(f.DelayNext, func(n int) { s.table.DelayNext(n, milliseconds(f.DelayNextMS)) })
	set(f.ObjectsDown, s.objects.SetDown)
	setTime(f.LagMS, s.hosts.SetLag)
	set(f.RaterDown, s.rater.SetDown)
	setTime(f.RaterDelayMS, s.rater.SetDelay)
}

// Heal ends all faults and gives the host list its lag of Options.
func (s *Server) Heal() {
	s.table.Heal()
	s.objects.SetDown(false)
	s.hosts.SetLag(s.options.HostLag)
	s.rater.SetDown(false)
	s.rater.SetDelay(0)
}

func (s *Server) setFaults(r *http.Request) (reply, error) {
	var faults Faults
	if err := readJSON(r, &faults); err != nil {
		return reply{}, err
	}
	s.SetFaults(faults)
	return reply{}, nil
}

func (s *Server) heal(*http.Request) (reply, error) {
	s.Heal()
	return reply{}, nil
}

func set[T any](value *T, apply func(T)) {
	if value != nil {
		apply(*value)
	}
}

func setTime(value *int64, apply func(time.Duration)) {
	if value != nil {
		apply(milliseconds(*value))
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
