package gateway

import (
	"cmp"
	"net"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Settings configure a gateway.
type Settings struct {
	// Host and Zone are this host's name and availability zone.
	Host string
	Zone string
	// Regions maps availability zones to regions; empty if there is only one region. A zone that
	// isn't in a non-empty map is in a region of its own.
	Regions map[string]string
	// CallerAddress, ReadyAddress and MetricsAddress are addresses to listen on, IP and port.
	// MetricsAddress may be empty.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// ReadyPath is the path that responds with status 200 while the host accepts new connections.
	ReadyPath string

	// TableSource reads the tables that the gateway follows; StatusTable is the table to which it
	// writes the statuses of roll-outs.
	TableSource feed.Source
	StatusTable storage.Table
	Tables      Tables
	Codec       Codec
	Headers     Headers
	// RunCopies describes how engines copy runs to each other.
	RunCopies RunCopies
	// AnyModel is the model name by which callers leave the choice of the model to the gateway.
	AnyModel string

	// UpstreamSource is the source address of connections to upstreams; nil lets the system choose.
	UpstreamSource net.IP

	// Peers configures the exchange with other hosts. If Peers.Listen is empty, the host uses only
	// its own data.
	Peers Peers

	// StopTimeout is the time after which a process that was asked to stop is killed.
	StopTimeout time.Duration
	// DrainTime is how long an upstream still serves after it announced that it is leaving.
	DrainTime time.Duration
	// ApplyTime is the time within which operators' documents have to take effect.
	ApplyTime time.Duration
	// RetryRatio bounds the retries of a service's requests as a fraction of the requests, in each
	// time span of RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	// RetryHeadroom is the number of additional retries that all hosts together may make in each
	// window.
	RetryHeadroom float64
	// CanaryShare bounds the fraction of a service's requests that a new version serves, over the
	// whole duration of its roll-out.
	CanaryShare float64
	// CanaryHeadroom is the number of requests beyond CanaryShare that the new version may serve.
	CanaryHeadroom float64
	// ColdOverrun and ColdHeadroom bound the requests that all hosts together may send to a cold
	// upstream in one second: ColdOverrun times the rate that it tolerates, plus ColdHeadroom.
	ColdOverrun  float64
	ColdHeadroom float64

	// MemoryBytes is the memory that the process may use; 0 if it isn't known. Sockets is the number of
	// sockets that it may open; 0 for as many as the system permits.
	MemoryBytes int64
	Sockets     int

	// Features are the modes of the features for contended services. Contended is set if all
	// services that run language models are contended, whatever their upstreams state.
	Features  Features
	Contended bool

	// FirstModelIndex is the index of the model that is tried first for a request with a choice of
	// models; 0 is the cheapest.
	FirstModelIndex int
	// AcceptConfidence is the minimum confidence, 0 to 100, with which the answer of a cheaper
	// model is passed on.
	AcceptConfidence int
}

// Peers configures the exchange with other hosts.
type Peers struct {
	// Listen is this host's address for the other hosts, IP and port.
	Listen string
	// Seeds are the addresses of the hosts that may act as hubs.
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
	// retryMargin is the fraction of the permitted retries that is used. The rest is a margin for
	// upstreams, which count requests over other intervals than hosts do.
	retryMargin = 0.9
	// These are the defaults of settings that a deployment doesn't set.
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultStopTimeout = 10 * time.Second
	defaultDrainTime   = 2 * time.Second
	defaultApplyTime   = 2 * time.Second
	defaultCanaryShare = 0.1
	// defaultMemoryBytes is the memory of the smallest host.
	defaultMemoryBytes = 144 << 20
)

func (s Settings) withDefaults() Settings {
	s.RetryRatio = cmp.Or(s.RetryRatio, defaultRetryRatio)
	s.RetryWindow = cmp.Or(s.RetryWindow, defaultRetryWindow)
	s.StopTimeout = cmp.Or(s.StopTimeout, defaultStopTimeout)
	s.DrainTime = cmp.Or(s.DrainTime, defaultDrainTime)
	s.ApplyTime = cmp.Or(s.ApplyTime, defaultApplyTime)
	s.MemoryBytes = cmp.Or(s.MemoryBytes, defaultMemoryBytes)
	s.Sockets = httpintake.SocketLimit(s.Sockets)
	s.CanaryShare = cmp.Or(s.CanaryShare, defaultCanaryShare)
	return s
}
