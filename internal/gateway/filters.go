package gateway

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// matchRoute finds the request's route in the routing table that is in force, and its service.
type matchRoute struct {
	gateway *Gateway
}

func (f *matchRoute) serve(ctx context.Context, r *Request, next handleFunc) error {
	table := f.gateway.routingTable.Load()
	if table == nil {
		return resultcode.New(resultcode.NoManifest, "no routing document yet")
	}
	r.Table = table
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r.Header) > limit {
		return resultcode.New(resultcode.HeaderTooLarge, "header over %d bytes", limit)
	}
	route, ok := table.Match(r.Host, r.path())
	if !ok {
		return resultcode.New(resultcode.UnknownRoute, "no route of this host begins the path")
	}
	r.Route = route
	key := r.Session
	if key == "" {
		key = r.ID
	}
	r.Service = route.SelectService(evenhash.Point("split", key))
	return next(ctx, r)
}

// headerBytes returns the size of a header on the wire, in bytes.
func headerBytes(header http.Header) int {
	n := 0
	for name, values := range header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// identifyAccount finds the client account by the key in the request's header. It refuses requests
// without a known key, except on public routes.
type identifyAccount struct {
	headers *Headers
}

func (f *identifyAccount) serve(ctx context.Context, r *Request, next handleFunc) error {
	key := r.Header.Get(f.headers.AccountKey)
	r.Account = r.Table.Account(key)
	if r.Account == nil && r.Table.RequiresKey() && !r.Route.Public {
		return resultcode.New(resultcode.UnknownKey, "the key is missing or unknown")
	}
	return next(ctx, r)
}

// readBody reads the whole body, so that it can be sent to several upstreams, and computes the
// digest.
type readBody struct{}

func (f *readBody) serve(ctx context.Context, r *Request, next handleFunc) error {
	limit := cmp.Or(max(0, r.Table.Limits.MaxBodyBytes), math.MaxInt64)
	data, err := r.conn.ReadBody(r.answer.writer, r.answer.request, limit, boottime.Until(r.Deadline))
	if err != nil {
		return httpintake.BodyRefusal(err)
	}
	r.Body = data
	r.Digest, r.partDigests = r.content().Digest(), r.Prompt.partDigests()
	return next(ctx, r)
}

// setDeadline sets the request's deadline to the caller's deadline or the end of the route's
// timeout, whichever is earlier.
type setDeadline struct {
	headers *Headers
}

func (f *setDeadline) serve(ctx context.Context, r *Request, next handleFunc) error {
	allowed := r.Route.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(f.headers.Deadline), 64); err == nil && ms > 0 {
		callerWait := time.Duration(min(ms, float64(maxCallerDeadline.Milliseconds())) * float64(time.Millisecond))
		if allowed <= 0 || callerWait < allowed {
			allowed = callerWait
		}
	}
	if allowed <= 0 {
		allowed = defaultTimeout
	}
	r.Deadline = r.Arrived.Add(allowed)
	ctx, cancel := context.WithTimeout(ctx, boottime.Until(r.Deadline))
	defer cancel()
	return next(ctx, r)
}

// maxCallerDeadline bounds the deadlines of callers on routes without a timeout.
const maxCallerDeadline = time.Hour

// defaultTimeout bounds requests for which neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second
