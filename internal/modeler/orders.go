package modeler

import (
	"fmt"
	"time"
)

// Order is an order as a backend server saw it.
type Order struct {
	Holder string
	Fence  int64
	At     time.Time
}

// Violation is a rule that was broken.
type Violation struct {
	Rule   string
	Detail string
}

// Orders holds the last orders of one incarnation of a backend server, the oldest first.
type Orders struct {
	Last []Order
}

// keptOrders is the number of orders that later ones are judged by.
const keptOrders = 50

// Take adds an order and returns what it breaks: fences of different holders must be distinct and grow, and no two holders may order by
// turns within the lease.
func (l *Orders) Take(o Order, lease time.Duration) (broken []Violation) {
	followed := false // set once another holder's order is found between this one and an earlier one of the same holder
	for i := len(l.Last) - 1; i >= 0; i-- {
		former := l.Last[i]
		if former.Holder != o.Holder {
			followed = true
			if former.Fence >= o.Fence {
				broken = append(broken, Violation{"fences_grow", fmt.Sprintf("%s with %d after %s with %d", o.Holder, o.Fence, former.Holder, former.Fence)})
			}
			continue
		}
		if followed && o.At.Sub(former.At) < lease {
			broken = append(broken, Violation{"one_holder", fmt.Sprintf("%s came back within the lease: %v", o.Holder, l.tail(o.At))})
			break
		}
		if former.Fence > o.Fence {
			broken = append(broken, Violation{"fences_grow", o.Holder + " went back"})
		}
	}
	l.Last = append(l.Last, o)
	if len(l.Last) > keptOrders {
		l.Last = l.Last[1:]
	}
	return broken
}

// tail shows the last orders with their age.
func (l *Orders) tail(now time.Time) []string {
	var shown []string
	for _, o := range l.Last[max(len(l.Last)-6, 0):] {
		shown = append(shown, fmt.Sprintf("%s %v ago fence %d", o.Holder, now.Sub(o.At), o.Fence))
	}
	return shown
}
