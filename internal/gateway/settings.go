package gateway

import (
	"cmp"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Settings configure a gateway.
type Settings struct {
	// Host and Zone are this host's name and availability zone.
	Host string
	Zone string
	// Regions maps availability zones to regions; empty if there is only one region. A zone that
	// is missing is in a region of its own.
	Regions map[string]string
	// CallerAddress, ReadyAddress and MetricsAddress are addresses to listen on, IP and port; MetricsAddress may be empty.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// ReadyPath responds with 200 while the host accepts new connections.
	ReadyPath string

	// Source reads the tables that the gateway follows; Statuses is the table to which it writes
	// the statuses of roll-outs.
	Source   feed.Source
	Statuses storage.Table
	Tables   Tables
	Codec    Codec
	Headers  Headers
	// AnyModel is the model name by which callers leave the choice of the model to the gateway.
	AnyModel string

	// Peers configures the exchange with other hosts. Without an address to listen on the host
	// uses only its own data.
	Peers Peers

	// StopTimeout is the time from the stop request to the kill.
	StopTimeout time.Duration
	// DrainTime is how long a leaving upstream still serves.
	DrainTime time.Duration
	// ApplyTime is the time within which operators' documents have to take effect.
	ApplyTime time.Duration
	// RetryRatio bounds a service's retries relative to its requests, in each span of RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	// RetryHeadroom is the number of additional retries that all hosts together may make in each
	// window.
	RetryHeadroom float64
	// CanaryShare bounds a new version's share of a roll-out's requests.
	CanaryShare float64
	// ColdOverrun times the rate that a cold upstream tolerates, plus ColdHeadroom requests, is the
	// number of requests of all hosts together that may reach it in one second.
	ColdOverrun  float64
	ColdHeadroom float64

	// FirstModelIndex is the index of the model at which a request with a choice of models starts, 0
	// for the cheapest.
	FirstModelIndex int
	// AcceptConfidence is the confidence, 0 to 100, from which a cheaper model's answer is passed
	// on.
	AcceptConfidence int
}

// Peers configures the exchange with other hosts.
type Peers struct {
	// Listen is this host's address for the other hosts, IP and port.
	Listen string
	// Seeds are the addresses of the hosts that collect the other hosts' data.
	Seeds []string
	// FirstStart is set if the whole installation starts for the first time.
	FirstStart bool
	// Cores is this host's number of processor cores, which may be a fraction, and LinkMbps the
	// rate of its network link in Mbit/s; 0 where they aren't known.
	Cores    float64
	LinkMbps float64
	// Keys is the table with the key that the hosts share.
	Keys storage.Table
}

const (
	// retryMargin is the fraction of the permitted retries that is used: hosts count over other
	// intervals than upstreams do.
	retryMargin = 0.9
	// Defaults of settings that a deployment doesn't set.
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultStopTimeout = 10 * time.Second
	defaultDrainTime   = 2 * time.Second
	defaultApplyTime   = 2 * time.Second
	defaultCanaryShare = 0.1
)

func (s Settings) withDefaults() Settings {
	s.RetryRatio = cmp.Or(s.RetryRatio, defaultRetryRatio)
	s.RetryWindow = cmp.Or(s.RetryWindow, defaultRetryWindow)
	s.StopTimeout = cmp.Or(s.StopTimeout, defaultStopTimeout)
	s.DrainTime = cmp.Or(s.DrainTime, defaultDrainTime)
	s.ApplyTime = cmp.Or(s.ApplyTime, defaultApplyTime)
	s.CanaryShare = cmp.Or(s.CanaryShare, defaultCanaryShare)
	return s
}
