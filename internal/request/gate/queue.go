package gate

// FairQueue gives each key its weighted turn. Within a key the order is first
// come, first served. The zero value is empty and ready to use; it is not safe
// for concurrent use.
type FairQueue[K comparable, V comparable] struct {
	// active has the keys with items; the order is that of their first item.
	active []*turn[K, V]
	length int
	// clock is the virtual time of the last item served. A key that comes back
	// starts there, so that it cannot save up turns.
	clock float64
}

// turn is the line of one key.
type turn[K comparable, V comparable] struct {
	key    K
	weight int
	items  []V
	// finish is the virtual time at which the key's next item is due.
	finish float64
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

// TotalWeight returns the sum of the weights of all keys with items, and of the
// given key in any case.
func (q *FairQueue[K, V]) TotalWeight(key K, weight int) int {
	sum := weight
	for _, t := range q.active {
		if t.key != key {
			sum += t.weight
		}
	}
	return sum
}

func (q *FairQueue[K, V]) find(key K) *turn[K, V] {
	for _, t := range q.active {
		if t.key == key {
			return t
		}
	}
	return nil
}

// Push adds an item. The weight is at least 1.
func (q *FairQueue[K, V]) Push(key K, weight int, item V) {
	t := q.find(key)
	if t == nil {
		t = &turn[K, V]{key: key, finish: q.clock + 1/float64(weight)}
		q.active = append(q.active, t)
	}
	t.weight = weight
	t.items = append(t.items, item)
	q.length++
}

// next returns the position of the key whose item is due first.
func (q *FairQueue[K, V]) next() int {
	first := -1
	for i, t := range q.active {
		if first < 0 || t.finish < q.active[first].finish {
			first = i
		}
	}
	return first
}

// Peek returns the item that Pop would return.
func (q *FairQueue[K, V]) Peek() (V, bool) {
	var none V
	i := q.next()
	if i < 0 {
		return none, false
	}
	return q.active[i].items[0], true
}

// Pop takes the next item out.
func (q *FairQueue[K, V]) Pop() (V, bool) {
	var none V
	i := q.next()
	if i < 0 {
		return none, false
	}
	t := q.active[i]
	item := t.items[0]
	t.items = t.items[1:]
	q.length--
	q.clock = t.finish
	t.finish += 1 / float64(t.weight)
	q.drop(i)
	return item, true
}

// Remove takes an item out and tells whether it was there.
func (q *FairQueue[K, V]) Remove(key K, item V) bool {
	for i, t := range q.active {
		if t.key != key {
			continue
		}
		for k, v := range t.items {
			if v == item {
				t.items = append(t.items[:k:k], t.items[k+1:]...)
				q.length--
				q.drop(i)
				return true
			}
		}
	}
	return false
}

// drop removes a key without items.
func (q *FairQueue[K, V]) drop(i int) {
	if len(q.active[i].items) == 0 {
		q.active = append(q.active[:i:i], q.active[i+1:]...)
	}
}
