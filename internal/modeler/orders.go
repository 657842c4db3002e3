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

// OrderLog holds the last orders of one incarnation of a backend server, the oldest first.
type OrderLog struct {
	Recent []Order
}

// maxRecentOrders is the number of orders that later ones are judged by.
const maxRecentOrders = 50

// Record adds an order and returns what it breaks: fences of different holders must be distinct and grow, and no two holders may order by
// turns within the lease.
func (l *OrderLog) Record(o Order, leaseDuration time.Duration) (violations []Violation) {
	interleaved := false // set once another holder's order is found between this one and an earlier one of the same holder
	for i := len(l.Recent) - 1; i >= 0; i-- {
		previous := l.Recent[i]
		if previous.Holder != o.Holder {
			interleaved = true
			if previous.Fence >= o.Fence {
				violations = append(violations, Violation{"fences_grow", fmt.Sprintf("%s with %d after %s with %d", o.Holder, o.Fence, previous.Holder, previous.Fence)})
			}
			continue
		}
		if interleaved && o.At.Sub(previous.At) < leaseDuration {
			violations = append(violations, Violation{"one_holder", fmt.Sprintf("%s came back within the lease: %v", o.Holder, l.describeRecent(o.At))})
			break
		}
		if previous.Fence > o.Fence {
			violations = append(violations, Violation{"fences_grow", o.Holder + " went back"})
		}
	}
	l.Recent = append(l.Recent, o)
	if len(l.Recent) > maxRecentOrders {
		l.Recent = l.Recent[1:]
	}
	return violations
}

// describeRecent shows the last orders with their age.
func (l *OrderLog) describeRecent(now time.Time) []string {
	var texts []string
	for _, o := range l.Recent[max(len(l.Recent)-6, 0):] {
		texts = append(texts, fmt.Sprintf("%s %v ago fence %d", o.Holder, now.Sub(o.At), o.Fence))
	}
	return texts
}
