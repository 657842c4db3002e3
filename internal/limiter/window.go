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
	// NewestSlot is the number of the newest slot, counted from two windows before time.Unix(0, 0), which may be the machine's boot. Slots of the
	// window before it have numbers too.
	NewestSlot int64
	Sum        float64
}

func (w *Window) slotNumber(at time.Time) int64 {
	return (at.UnixNano() + 2*int64(w.Length)) / int64(w.Length/slotsPerWindow)
}

// advance clears the slots that have left the window.
func (w *Window) advance(now time.Time) {
	current := w.slotNumber(now)
	if w.NewestSlot == 0 || current-w.NewestSlot > slotsPerWindow {
		w.NewestSlot = current
		w.Slots = [slotsPerWindow + 1]float64{}
		w.Sum = 0
		return
	}
	for w.NewestSlot < current {
		w.NewestSlot++
		i := w.NewestSlot % (slotsPerWindow + 1)
		w.Sum -= w.Slots[i]
		w.Slots[i] = 0
	}
}

// Add adds an amount that was used the duration ago before now; amounts from outside the window are ignored.
func (w *Window) Add(now time.Time, ago time.Duration, amount float64) {
	w.advance(now)
	n := w.slotNumber(now.Add(-ago))
	if n <= w.NewestSlot-slotsPerWindow-1 || n > w.NewestSlot {
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
	for slotsBack := range int64(slotsPerWindow) {
		parts[int(slotsBack)*count/slotsPerWindow] += w.Slots[(w.NewestSlot-slotsBack)%(slotsPerWindow+1)]
	}
	return parts
}

// Wait returns the time until Total has fallen to the given level if nothing is added.
func (w *Window) Wait(now time.Time, level float64) time.Duration {
	remaining := w.Total(now)
	for slotsBack := int64(slotsPerWindow); slotsBack >= 0; slotsBack-- {
		if remaining <= level {
			return time.Duration(slotsPerWindow-slotsBack) * (w.Length / slotsPerWindow)
		}
		remaining -= w.Slots[(w.NewestSlot-slotsBack)%(slotsPerWindow+1)]
	}
	return w.Length
}
