package queuer

import (
	"cmp"
	"slices"
)

// Lane is the waiting items of one key and the weighted service that the key has had.
type Lane[T any] struct {
	Items   []T
	Service float64
	Weight  float64
}

// Fair serves the lane that has had the least service for its weight, as in the Virtual Token Counter scheduler.
type Fair[K cmp.Ordered, T any] struct {
	Lanes map[K]*Lane[T]
	Size  int
	floor float64
}

// Push appends an item to the lane of key; an idle lane starts from the service of the least served busy lane.
func (f *Fair[K, T]) Push(key K, weight float64, item T) {
	lane := f.lane(key, weight)
	if len(lane.Items) == 0 {
		lane.Service = max(lane.Service, f.leastService())
	}
	lane.Items = append(lane.Items, item)
	f.Size++
}

// Pop removes the oldest item of the least served lane and charges the lane with the cost of the item.
func (f *Fair[K, T]) Pop(cost func(T) float64) (T, bool) {
	var none T
	var best *Lane[T]
	var bestKey K
	for k, l := range f.Lanes {
		if len(l.Items) == 0 {
			continue
		}
		if best == nil || l.Service < best.Service || l.Service == best.Service && k < bestKey {
			best = l
			bestKey = k
		}
	}
	if best == nil {
		return none, false
	}
	item := best.Items[0]
	best.Items = best.Items[1:]
	f.Size--
	f.floor = best.Service
	best.Service += cost(item) / best.Weight
	return item, true
}

// Remove takes out the items for which match is true and returns them.
func (f *Fair[K, T]) Remove(match func(T) bool) []T {
	var removed []T
	for _, k := range f.keys() {
		l := f.Lanes[k]
		kept := l.Items[:0]
		for _, item := range l.Items {
			if match(item) {
				removed = append(removed, item)
				continue
			}
			kept = append(kept, item)
		}
		l.Items = kept
	}
	f.Size -= len(removed)
	return removed
}

func (f *Fair[K, T]) keys() []K {
	keys := make([]K, 0, len(f.Lanes))
	for k := range f.Lanes {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (f *Fair[K, T]) lane(key K, weight float64) *Lane[T] {
	if f.Lanes == nil {
		f.Lanes = map[K]*Lane[T]{}
	}
	lane, ok := f.Lanes[key]
	if !ok {
		lane = &Lane[T]{Weight: 1, Service: f.floor}
		f.Lanes[key] = lane
	}
	if weight > 0 {
		lane.Weight = weight
	}
	return lane
}

func (f *Fair[K, T]) leastService() float64 {
	least := -1.0
	for _, l := range f.Lanes {
		if len(l.Items) > 0 && (least < 0 || l.Service < least) {
			least = l.Service
		}
	}
	if least < 0 {
		return f.floor
	}
	return least
}
