package gateway

import "sync"

// lazyValues holds a value for each key. make creates the value when it is first used.
type lazyValues[T any] struct {
	make   func() *T
	values sync.Map
}

func (v *lazyValues[T]) get(key string) *T {
	if found, ok := v.values.Load(key); ok {
		return found.(*T)
	}
	made, _ := v.values.LoadOrStore(key, v.make())
	return made.(*T)
}
