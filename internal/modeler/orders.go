package modeler

import (
	"fmt"
	"time"
)

// Order is an order as a backend server received it.
type Order struct {
	Holder string
	Fence  int64
	At     time.Time
}

// Violation describes the violation of a rule.
type Violation struct {
	Rule   string
	Detail string
}

// OrderLog holds the most recent orders received by one incarnation of a backend server.
type OrderLog struct {
	// Recent is ordered from the oldest to the newest.
	Recent []Order
}

// maxRecentOrders is the number of orders that a new order is compared with.
const maxRecentOrders = 50

// Record adds an order and returns its violations: fences must differ between holders and never decrease, and a holder must not send
// orders again within leaseDuration of its previous order if another holder has sent one in between.
func (l *OrderLog) Record(o Order, leaseDuration time.Duration) (violations []Violation) {
	interleaved := false // set once an order of another holder is found after the previous order of the same holder
	for i := len(l.Recent) - 1; i >= 0; i-- {
		previous := l.Recent[i]
		if previous.Holder != o.Holder {
			interleaved = true
			if previous.Fence >= o.Fence {
				violations = append(violations, Violation{"fences_grow",
					fmt.Sprintf("%s sent fence %d after %s had sent fence %d", o.Holder, o.Fence, previous.Holder, previous.Fence)})
			}
			continue
		}
		if interleaved && o.At.Sub(previous.At) < leaseDuration {
			violations = append(violations, Violation{"one_holder",
				fmt.Sprintf("%s sent orders before and after another holder within the lease duration: %v", o.Holder, l.describeRecent(o.At))})
			break
		}
		if previous.Fence > o.Fence {
			violations = append(violations, Violation{"fences_grow", o.Holder + " sent a lower fence than before"})
		}
	}
	l.Recent = append(l.Recent, o)
	if len(l.Recent) > maxRecentOrders {
		l.Recent = l.Recent[1:]
	}
	return violations
}

// describeRecent returns descriptions of the last six orders with their age.
func (l *OrderLog) describeRecent(now time.Time) []string {
	var texts []string
	for _, o := range l.Recent[max(len(l.Recent)-6, 0):] {
		texts = append(texts, fmt.Sprintf("%s %v ago with fence %d", o.Holder, now.Sub(o.At), o.Fence))
	}
	return texts
}
