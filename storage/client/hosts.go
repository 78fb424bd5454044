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
// and fetches the changes since, because the whole list of a large platform
// takes megabytes.
type hostList struct {
	platform *Platform
	// lock is a channel with one token that protects the fields below: a call
	// takes the token and puts it back. Unlike with a mutex, a call can stop
	// waiting when its context ends.
	lock chan struct{}
	// cursor identifies the state of the list in hosts; empty if the next call
	// must fetch the whole list.
	cursor string
	// hosts is sorted by ID.
	hosts []storage.Host
}

func newHostList(p *Platform) *hostList {
	l := &hostList{platform: p, lock: make(chan struct{}, 1)}
	l.lock <- struct{}{}
	return l
}

// Hosts implements storage.HostList. A failed call returns no list, not even an
// old one. The caller owns the result.
func (l *hostList) Hosts(ctx context.Context) ([]storage.Host, error) {
	c := call{op: "list hosts", method: http.MethodGet, path: protocol.PathHosts}
	select {
	case <-l.lock:
	case <-ctx.Done():
		return nil, c.unavailableError(ctx.Err())
	}
	defer func() { l.lock <- struct{}{} }()
	if l.cursor != "" {
		c.query = url.Values{protocol.QuerySince: {l.cursor}}
	}
	var changes protocol.HostsResponse
	if err := l.platform.callJSON(ctx, c, &changes); err != nil {
		return nil, err
	}
	if !l.apply(changes) {
		// The stored list may be wrong, so the next call fetches the whole list.
		l.cursor = ""
		return nil, c.uncertainError(errInvalidResponse)
	}
	return slices.Clone(l.hosts), nil
}

// apply updates the list and reports whether the response was valid.
func (l *hostList) apply(changes protocol.HostsResponse) bool {
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

// replace replaces the whole list. It rejects a response without a list: taken
// for an empty list, it would put every upstream out of service.
func (l *hostList) replace(changes protocol.HostsResponse) bool {
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

// remove removes a host if it is in the list. A host that was added and removed
// between two calls isn't in the list.
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
