package memory

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.Objects = (*Objects)(nil)

// Objects is an object store whose objects are written once.
type Objects struct {
	mu      sync.RWMutex
	objects map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{objects: make(map[string][]byte)}
}

// Write implements storage.Objects. It returns storage.ErrConflict if the name
// is already used for other data.
func (o *Objects) Write(ctx context.Context, name string, data []byte) error {
	if err := checkContext(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	old, taken := o.objects[name]
	if !taken {
		o.objects[name] = bytes.Clone(data)
		return nil
	}
	if !bytes.Equal(old, data) {
		return fmt.Errorf("write object %q: other data is stored: %w", name, storage.ErrConflict)
	}
	return nil
}

// Read implements storage.Objects. The caller owns the returned data.
func (o *Objects) Read(ctx context.Context, name string) ([]byte, error) {
	if err := checkContext(ctx); err != nil {
		return nil, err
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	data, ok := o.objects[name]
	if !ok {
		return nil, fmt.Errorf("read object %q: %w", name, storage.ErrNotFound)
	}
	return bytes.Clone(data), nil
}
