package admitter

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Deadlines learns how much time the requests of a route have left when their callers first send them.
//
// First tries of one kind have the same time left. A caller that returns after a refusal, perhaps by another host, has less, and how much less
// varies. So a request with an unusual time below a usual one has probably been refused before.
type Deadlines struct {
	// Counts holds the decayed number of requests by the logarithm of their time left.
	Counts map[int]float64
	Total  float64
}

const (
	// deadlineStep is the relative width of a class of times.
	deadlineStep = 0.02
	// usualShare is the share of the requests from which a class is usual; the times of returning callers are spread over more classes.
	usualShare = 0.12
	// minDeadlines is the number of requests before which nothing is known, and maxDeadlines the number at which all counts are halved.
	minDeadlines = 30
	maxDeadlines = 500
	// maxUsualRatio bounds how much less time a returned caller has: it waits for up to a third, and was held for less than that before.
	maxUsualRatio = 2.5
	// unknownCount is the count below which a class is dropped.
	unknownCount = 0.5
)

// Add records the time that a request has left on arrival.
func (d *Deadlines) Add(left time.Duration) {
	if left <= 0 {
		return
	}
	if d.Counts == nil {
		d.Counts = map[int]float64{}
	}
	d.Counts[deadlineClass(left)]++
	d.Total++
	if d.Total < maxDeadlines {
		return
	}
	d.Total = 0
	// Rounding depends on the order of the sum, which must be the same for the same counts.
	for _, class := range slices.Sorted(maps.Keys(d.Counts)) {
		count := d.Counts[class] / 2
		if count < unknownCount {
			delete(d.Counts, class)
			continue
		}
		d.Counts[class] = count
		d.Total += count
	}
}

// Elapsed returns the time that has probably passed since the caller first sent a request, and false if this is the first try.
func (d *Deadlines) Elapsed(left time.Duration) (time.Duration, bool) {
	class := deadlineClass(left)
	if left <= 0 || d.Total < minDeadlines || d.usual(class) {
		return 0, false
	}
	for higher := class + 2; higher <= class+int(math.Log(maxUsualRatio)/deadlineStep); higher++ {
		if d.usual(higher) {
			return time.Duration(math.Exp(float64(higher)*deadlineStep)*float64(time.Millisecond)) - left, true
		}
	}
	return 0, false
}

// usual reports whether first tries have about that time left; a time near the border of two classes falls into both.
func (d *Deadlines) usual(class int) bool {
	return d.Counts[class-1]+d.Counts[class]+d.Counts[class+1] > usualShare*d.Total
}

func deadlineClass(left time.Duration) int {
	return int(math.Round(math.Log(float64(left)/float64(time.Millisecond)) / deadlineStep))
}
