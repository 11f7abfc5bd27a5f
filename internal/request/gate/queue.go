package gate

// FairQueue is a weighted fair queue over keys; the items of one key are served
// in order of arrival. The zero value is empty and ready to use; it is not safe
// for concurrent use.
type FairQueue[K comparable, V comparable] struct {
	// active has the keys with items, in the order in which they became non-empty.
	active []*keyQueue[K, V]
	length int
	// virtualTime is the due time of the last item served. A key that becomes
	// non-empty again starts there, so that the time in which it had no items doesn't
	// count in its favour.
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
	if k := q.find(key); k != nil {
		return len(k.items)
	}
	return 0
}

// TotalWeight returns the sum of the weights of all keys with items and of the
// given key, which counts with the given weight whether it has items or not.
func (q *FairQueue[K, V]) TotalWeight(key K, weight int) int {
	sum := weight
	for _, k := range q.active {
		if k.key != key {
			sum += k.weight
		}
	}
	return sum
}

func (q *FairQueue[K, V]) find(key K) *keyQueue[K, V] {
	for _, k := range q.active {
		if k.key == key {
			return k
		}
	}
	return nil
}

// Push adds an item at the end of its key's items and sets the weight of the key,
// which must be at least 1.
func (q *FairQueue[K, V]) Push(key K, weight int, item V) {
	k := q.find(key)
	if k == nil {
		k = &keyQueue[K, V]{key: key, due: q.virtualTime + 1/float64(weight)}
		q.active = append(q.active, k)
	}
	k.weight = weight
	k.items = append(k.items, item)
	q.length++
}

// nextDue returns the index in active of the key whose first item is due first,
// -1 if the queue is empty.
func (q *FairQueue[K, V]) nextDue() int {
	first := -1
	for i, k := range q.active {
		if first < 0 || k.due < q.active[first].due {
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
	k := q.active[i]
	item := k.items[0]
	k.items = k.items[1:]
	q.length--
	q.virtualTime = k.due
	k.due += 1 / float64(k.weight)
	q.dropEmpty(i)
	return item, true
}

// Remove removes an item of the key and reports whether it was there. Unlike Pop
// it uses up no turn of the key.
func (q *FairQueue[K, V]) Remove(key K, item V) bool {
	for i, k := range q.active {
		if k.key != key {
			continue
		}
		for j, v := range k.items {
			if v == item {
				k.items = append(k.items[:j:j], k.items[j+1:]...)
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
