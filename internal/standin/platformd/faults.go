package platformd

import (
	"net/http"
	"time"
)

// Faults is the body of POST /faults. Missing fields leave their fault as it
// is. Times are in milliseconds.
type Faults struct {
	// Down starts or ends an outage of the table.
	Down *bool `json:"down,omitempty"`
	// DelayMS is the duration of each call to the table.
	DelayMS *int64 `json:"delay_ms,omitempty"`
	// LoseNext is how many of the next commits take effect but get no response.
	LoseNext *int `json:"lose_next,omitempty"`
	// DropNext is how many of the next commits have no effect and get no
	// response.
	DropNext *int `json:"drop_next,omitempty"`
	// DelayNext is how many of the next commits get no response and take
	// effect after DelayNextMS.
	DelayNext   *int  `json:"delay_next,omitempty"`
	DelayNextMS int64 `json:"delay_next_ms,omitempty"`
	// ObjectsDown starts or ends an outage of the object store.
	ObjectsDown *bool `json:"objects_down,omitempty"`
	// LagMS is the lag of the host list.
	LagMS *int64 `json:"lag_ms,omitempty"`
	// RaterDown starts or ends an outage of the rater.
	RaterDown *bool `json:"rater_down,omitempty"`
	// RaterDelayMS is the duration of each rating.
	RaterDelayMS *int64 `json:"rater_delay_ms,omitempty"`
}

// SetFaults sets the faults whose fields in f aren't nil.
func (s *Server) SetFaults(f Faults) {
	applyIfSet(f.Down, s.table.SetDown)
	applyMilliseconds(f.DelayMS, s.table.SetDelay)
	applyIfSet(f.LoseNext, s.table.LoseNextResponses)
	applyIfSet(f.DropNext, s.table.DropNextCommits)
	applyIfSet(f.DelayNext, func(n int) { s.table.DelayNextCommits(n, milliseconds(f.DelayNextMS)) })
	applyIfSet(f.ObjectsDown, s.objects.SetDown)
	applyMilliseconds(f.LagMS, s.hosts.SetLag)
	applyIfSet(f.RaterDown, s.rater.SetDown)
	applyMilliseconds(f.RaterDelayMS, s.rater.SetDelay)
}

// ClearFaults ends all faults and resets the lag of the host list to Options.HostLag.
func (s *Server) ClearFaults() {
	s.table.ClearFaults()
	s.objects.SetDown(false)
	s.hosts.SetLag(s.options.HostLag)
	s.rater.SetDown(false)
	s.rater.SetDelay(0)
}

func (s *Server) setFaults(r *http.Request) (response, error) {
	var faults Faults
	if err := readJSON(r, &faults); err != nil {
		return response{}, err
	}
	s.SetFaults(faults)
	return response{}, nil
}

func (s *Server) heal(*http.Request) (response, error) {
	s.ClearFaults()
	return response{}, nil
}

func applyIfSet[T any](value *T, apply func(T)) {
	if value != nil {
		apply(*value)
	}
}

func applyMilliseconds(value *int64, apply func(time.Duration)) {
	if value != nil {
		apply(milliseconds(*value))
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
