package gateway

import "sync"

// perService holds a value for each service, made when it is first asked for.
type perService[T any] struct {
	make   func() *T
	values sync.Map
}

func (p *perService[T]) of(service string) *T {
	if found, ok := p.values.Load(service); ok {
		return found.(*T)
	}
	made, _ := p.values.LoadOrStore(service, p.make())
	return made.(*T)
}
