package admission

// notInHeap is the index of an item that isn't in a heap.
const notInHeap = -1

// indexedHeap is a binary heap whose items store their indexes, so that any
// item can be moved or removed in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// index returns a pointer to an item's index.
	index func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// min returns the item that less orders before all others. The heap must not be
// empty.
func (h *indexedHeap[T]) min() T { return h.items[0] }

func (h *indexedHeap[T]) push(item T) {
	*h.index(item) = len(h.items)
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

// remove removes an item; it does nothing if the item isn't in the heap.
func (h *indexedHeap[T]) remove(item T) {
	i := *h.index(item)
	if i == notInHeap {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = notInHeap
	if i < last {
		h.fixAt(i)
	}
}

// fix restores the order after an item's key changed.
func (h *indexedHeap[T]) fix(item T) {
	if i := *h.index(item); i != notInHeap {
		h.fixAt(i)
	}
}

func (h *indexedHeap[T]) fixAt(i int) {
	h.up(i)
	h.down(i)
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		h.swap(i, smallest)
		i = smallest
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}
