package faulty

import (
	"context"
	"sync/atomic"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.Objects = (*Objects)(nil)

// Objects passes calls to an inner object store, unless it is down. It is safe
// for concurrent use.
type Objects struct {
	inner storage.Objects
	down  atomic.Bool
}

// NewObjects returns an object store without faults over inner.
func NewObjects(inner storage.Objects) *Objects {
	return &Objects{inner: inner}
}

// SetDown starts or ends an outage: every call has no effect and gives
// storage.ErrUnavailable.
func (o *Objects) SetDown(down bool) {
	o.down.Store(down)
}

// Write implements storage.Objects.
func (o *Objects) Write(ctx context.Context, name string, data []byte) error {
	if o.down.Load() {
		return errDown()
	}
	return o.inner.Write(ctx, name, data)
}

// Read implements storage.Objects.
func (o *Objects) Read(ctx context.Context, name string) ([]byte, error) {
	if o.down.Load() {
		return nil, errDown()
	}
	return o.inner.Read(ctx, name)
}
