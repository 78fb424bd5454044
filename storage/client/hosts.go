package client

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/protocol"
)

// hostList implements storage.HostList. It keeps the list of the last call
// and fetches what has changed since, for the whole list of a large platform
// takes megabytes.
type hostList struct {
	platform *Platform
	// turn holds one token, for the call that may use what follows. A channel
	// lets a waiting call end with its context.
	turn chan struct{}
	// cursor names the state that hosts shows; empty for none.
	cursor string
	// hosts is in ascending order of the IDs.
	hosts []storage.Host
}

func newHostList(p *Platform) *hostList {
	l := &hostList{platform: p, turn: make(chan struct{}, 1)}
	l.turn <- struct{}{}
	return l
}

// Hosts implements storage.HostList. A failed call gives no list, not even an
// old one. The caller owns the result.
func (l *hostList) Hosts(ctx context.Context) ([]storage.Host, error) {
	c := call{op: "list hosts", method: http.MethodGet, path: protocol.PathHosts}
	select {
	case <-l.turn:
	case <-ctx.Done():
		return nil, c.failUnsent(ctx.Err())
	}
	defer func() { l.turn <- struct{}{} }()
	if l.cursor != "" {
		c.query = url.Values{protocol.QuerySince: {l.cursor}}
	}
	var changes protocol.Hosts
	if err := l.platform.decode(ctx, c, &changes); err != nil {
		return nil, err
	}
	if !l.apply(changes) {
		// What was kept may be wrong, so the next call takes the whole list.
		l.cursor = ""
		return nil, c.failSent(errBadAnswer)
	}
	return slices.Clone(l.hosts), nil
}

// apply brings the list up to date and reports whether the answer fits it.
func (l *hostList) apply(changes protocol.Hosts) bool {
	if changes.Cursor == "" {
		return false
	}
	if changes.Full {
		return l.replace(changes)
	}
	if l.cursor == "" {
		return false
	}
	for _, id := range changes.Removed {
		l.remove(id)
	}
	for _, host := range changes.Hosts {
		l.set(host)
	}
	l.cursor = changes.Cursor
	return true
}

// replace takes the whole list. One that is missing isn't an empty one, which
// would take every upstream out of service.
func (l *hostList) replace(changes protocol.Hosts) bool {
	if changes.Hosts == nil {
		return false
	}
	l.hosts = changes.Hosts
	slices.SortFunc(l.hosts, func(a, b storage.Host) int { return cmp.Compare(a.ID, b.ID) })
	l.cursor = changes.Cursor
	return true
}

func (l *hostList) set(host storage.Host) {
	i, found := l.find(host.ID)
	if found {
		l.hosts[i] = host
		return
	}
	l.hosts = slices.Insert(l.hosts, i, host)
}

// remove removes a host. One that came and went between two calls isn't there.
func (l *hostList) remove(id string) {
	i, found := l.find(id)
	if found {
		l.hosts = slices.Delete(l.hosts, i, i+1)
	}
}

func (l *hostList) find(id string) (int, bool) {
	return slices.BinarySearchFunc(l.hosts, id, func(host storage.Host, id string) int {
		return cmp.Compare(host.ID, id)
	})
}
