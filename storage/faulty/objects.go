package faulty

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.Objects = (*Objects)(nil)

// Objects passes calls to an inner object store, subject to faults. It is safe
// for concurrent use.
type Objects struct {
	inner storage.Objects
	down  atomic.Bool
	// readDelay is in nanoseconds.
	readDelay atomic.Int64
}

// NewObjects returns an object store without faults over inner.
func NewObjects(inner storage.Objects) *Objects {
	return &Objects{inner: inner}
}

// SetDown starts or ends an outage: every call has no effect and returns
// storage.ErrUnavailable.
func (o *Objects) SetDown(down bool) {
	o.down.Store(down)
}

// SetReadDelay sets the delay of each read, to simulate a slow link.
func (o *Objects) SetReadDelay(d time.Duration) {
	o.readDelay.Store(int64(d))
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
	if err := sleep(ctx, time.Duration(o.readDelay.Load())); err != nil {
		return nil, err
	}
	return o.inner.Read(ctx, name)
}
