package gate

// FairQueue is a weighted fair queue over keys; the items of one key are served
// in order of arrival. The zero value is empty and ready to use; it is not safe
// for concurrent use.
type FairQueue[K comparable, V comparable] struct {
	// active has the keys with items, in the order in which they became non-empty.
	active []*keyQueue[K, V]
	length int
	// virtualTime is the due time of the last item served. A key that becomes
	// non-empty again starts there, so that it cannot save up turns.
	virtualTime float64
}

// keyQueue holds the items of one key.
type keyQueue[K comparable, V comparable] struct {
	key    K
	weight int
	items  []V
	// due is the virtual time at which the first item is due. Items of the key
	// follow each other at an interval of 1/weight.
	due float64
}

// Len returns the number of items.
func (q *FairQueue[K, V]) Len() int { return q.length }

// LenOf returns the number of items of a key.
func (q *FairQueue[K, V]) LenOf(key K) int {
	if t := q.find(key); t != nil {
		return len(t.items)
	}
	return 0
}

// TotalWeight returns the sum of the weights of all keys with items and of the
// given key, which counts with the given weight whether it has items or not.
func (q *FairQueue[K, V]) TotalWeight(key K, weight int) int {
	sum := weight
	for _, t := range q.active {
		if t.key != key {
			sum += t.weight
		}
	}
	return sum
}

func (q *FairQueue[K, V]) find(key K) *keyQueue[K, V] {
	for _, t := range q.active {
		if t.key == key {
			return t
		}
	}
	return nil
}

// Push adds an item at the end of its key's items and sets the weight of the key,
// which must be at least 1.
func (q *FairQueue[K, V]) Push(key K, weight int, item V) {
	t := q.find(key)
	if t == nil {
		t = &keyQueue[K, V]{key: key, due: q.virtualTime + 1/float64(weight)}
		q.active = append(q.active, t)
	}
	t.weight = weight
	t.items = append(t.items, item)
	q.length++
}

// nextDue returns the index in active of the key whose first item is due first,
// -1 if the queue is empty.
func (q *FairQueue[K, V]) nextDue() int {
	first := -1
	for i, t := range q.active {
		if first < 0 || t.due < q.active[first].due {
			first = i
		}
	}
	return first
}

// Peek returns the item that Pop would return, false if the queue is empty.
func (q *FairQueue[K, V]) Peek() (V, bool) {
	var zero V
	i := q.nextDue()
	if i < 0 {
		return zero, false
	}
	return q.active[i].items[0], true
}

// Pop removes and returns the item that is due first, false if the queue is empty.
func (q *FairQueue[K, V]) Pop() (V, bool) {
	var zero V
	i := q.nextDue()
	if i < 0 {
		return zero, false
	}
	t := q.active[i]
	item := t.items[0]
	t.items = t.items[1:]
	q.length--
	q.virtualTime = t.due
	t.due += 1 / float64(t.weight)
	q.dropEmpty(i)
	return item, true
}

// Remove removes an item of the key and reports whether it was there. Unlike Pop
// it uses up no turn of the key.
func (q *FairQueue[K, V]) Remove(key K, item V) bool {
	for i, t := range q.active {
		if t.key != key {
			continue
		}
		for k, v := range t.items {
			if v == item {
				t.items = append(t.items[:k:k], t.items[k+1:]...)
				q.length--
				q.dropEmpty(i)
				return true
			}
		}
	}
	return false
}

// dropEmpty removes the key at index i of active if it has no items.
func (q *FairQueue[K, V]) dropEmpty(i int) {
	if len(q.active[i].items) == 0 {
		q.active = append(q.active[:i:i], q.active[i+1:]...)
	}
}
