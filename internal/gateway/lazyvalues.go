package gateway

import "sync"

// lazyValues holds a value for each key, created on first use.
type lazyValues[T any] struct {
	make   func() *T
	values sync.Map
}

func (p *lazyValues[T]) get(key string) *T {
	if found, ok := p.values.Load(key); ok {
		return found.(*T)
	}
	made, _ := p.values.LoadOrStore(key, p.make())
	return made.(*T)
}
