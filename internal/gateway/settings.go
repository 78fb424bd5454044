package gateway

import (
	"cmp"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Settings are a gateway's settings.
type Settings struct {
	// Host and Zone are this host's name and availability zone.
	Host string
	Zone string
	// Regions are the regions of availability zones by name; empty if there is one only. A
	// zone that isn't there is in a region of its own.
	Regions map[string]string
	// Callers, Ready and Metrics are addresses to listen on, IP and port;
	// Metrics may be empty.
	Callers string
	Ready   string
	Metrics string
	// ReadyPath answers 200 while the host takes new connections.
	ReadyPath string

	// Source reads the tables that the gateway follows; Statuses is the table
	// that it writes the states of roll-outs to.
	Source   feed.Source
	Statuses storage.Table
	Tables   Tables
	Codec    Codec
	Headers  Headers
	// AnyModel is the model name by which callers leave the choice open.
	AnyModel string

	// Peers is how the host meets the others; without an address to listen on it
	// goes by what it knows itself.
	Peers Peers

	// StopTimeout is the time from the request to stop to the kill.
	StopTimeout time.Duration
	// DrainTime is how long an upstream that leaves still serves.
	DrainTime time.Duration
	// HeedTime is the time within which the operators expect their documents to be heeded.
	HeedTime time.Duration
	// RetryRatio bounds a service's repeats against its requests, in each span
	// of RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	// RetrySpare is the number of repeats that all hosts together may make in each
	// window besides.
	RetrySpare float64
	// CanaryShare bounds a new version's part of a roll-out's requests.
	CanaryShare float64
	// ColdOverrun times what a cold upstream tolerates a second, and ColdSpare requests
	// more, may reach it in one, of all hosts together.
	ColdOverrun float64
	ColdSpare   float64

	// FirstModel is the step at which a request with a choice of models starts,
	// 0 for the cheapest.
	FirstModel int
	// AcceptConfidence is the confidence, 0 to 100, from which a cheaper
	// model's answer is passed on.
	AcceptConfidence int
}

// Peers is where hosts meet.
type Peers struct {
	// Listen is this host's address for the others, IP and port.
	Listen string
	// Seeds are the addresses of hosts that gather what the others tell.
	Seeds []string
	// FirstStart says that the whole installation starts for the first time.
	FirstStart bool
	// Cores is this host's part of a processor, LinkMbps the rate of its network link in
	// Mbit/s; 0 where they aren't known.
	Cores    float64
	LinkMbps float64
	// Keys is the table with the key that the hosts share.
	Keys storage.Table
}

const (
	// retryMargin is the part of the permitted repeats that is used: hosts
	// count at other moments than upstreams do.
	retryMargin = 0.9
	// defaultRetryRatio and the other defaults hold where a deployment's
	// settings say nothing.
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultStopTimeout = 10 * time.Second
	defaultDrainTime   = 2 * time.Second
	defaultHeedTime    = 2 * time.Second
	defaultCanaryShare = 0.1
)

func (s Settings) withDefaults() Settings {
	s.RetryRatio = cmp.Or(s.RetryRatio, defaultRetryRatio)
	s.RetryWindow = cmp.Or(s.RetryWindow, defaultRetryWindow)
	s.StopTimeout = cmp.Or(s.StopTimeout, defaultStopTimeout)
	s.DrainTime = cmp.Or(s.DrainTime, defaultDrainTime)
	s.HeedTime = cmp.Or(s.HeedTime, defaultHeedTime)
	s.CanaryShare = cmp.Or(s.CanaryShare, defaultCanaryShare)
	return s
}
