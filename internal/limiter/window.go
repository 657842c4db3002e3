package limiter

import "time"

const (
	// slotsPerWindow is the number of time slots of a Window; amounts older than all slots are dropped.
	slotsPerWindow = 80
)

// Window is the sum of the amounts in a sliding window of Length, counted in time slots.
//
// The sum is never too low: an amount counts until its whole slot has left the window, which is up to one slot longer than Length.
type Window struct {
	Length time.Duration
	Slots  [slotsPerWindow + 1]float64
	// Last is the number of the newest slot, counted from the Unix epoch.
	Last int64
	Sum  float64
}

func (w *Window) slot(at time.Time) int64 {
	return at.UnixNano() / int64(w.Length/slotsPerWindow)
}

// advance clears the slots that have left the window.
func (w *Window) advance(now time.Time) {
	current := w.slot(now)
	if w.Last == 0 || current-w.Last > slotsPerWindow {
		w.Last = current
		w.Slots = [slotsPerWindow + 1]float64{}
		w.Sum = 0
		return
	}
	for w.Last < current {
		w.Last++
		i := w.Last % (slotsPerWindow + 1)
		w.Sum -= w.Slots[i]
		w.Slots[i] = 0
	}
}

// Add adds an amount that was used the duration ago before now; amounts from outside the window are ignored.
func (w *Window) Add(now time.Time, ago time.Duration, amount float64) {
	w.advance(now)
	n := w.slot(now.Add(-ago))
	if n <= w.Last-slotsPerWindow-1 || n > w.Last {
		return
	}
	w.Slots[n%(slotsPerWindow+1)] += amount
	w.Sum += amount
}

// Merge adds the amounts of other, which must have the same length.
func (w *Window) Merge(now time.Time, other *Window) {
	w.advance(now)
	other.advance(now)
	for i, amount := range other.Slots {
		w.Slots[i] += amount
	}
	w.Sum += other.Sum
}

// Total returns the sum of the amounts in the window that ends now.
func (w *Window) Total(now time.Time) float64 {
	w.advance(now)
	return max(w.Sum, 0)
}

// Parts divides the window into count equal parts and returns the amount of each, the newest first.
func (w *Window) Parts(now time.Time, count int) []float64 {
	w.advance(now)
	parts := make([]float64, count)
	for back := range int64(slotsPerWindow) {
		parts[int(back)*count/slotsPerWindow] += w.Slots[(w.Last-back)%(slotsPerWindow+1)]
	}
	return parts
}

// Wait returns the time until Total has fallen to the given level if nothing is added.
func (w *Window) Wait(now time.Time, level float64) time.Duration {
	left := w.Total(now)
	for back := int64(slotsPerWindow); back >= 0; back-- {
		if left <= level {
			return time.Duration(slotsPerWindow-back) * (w.Length / slotsPerWindow)
		}
		left -= w.Slots[(w.Last-back)%(slotsPerWindow+1)]
	}
	return w.Length
}
