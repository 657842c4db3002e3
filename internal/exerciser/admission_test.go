package exerciser

import "testing"

// TestSoakWithAdmission guards against rules that hold only while the admission control is off.
func TestSoakWithAdmission(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(max(*seeds/2, 1)); seed++ {
		o := defaultOptions(seed)
		o.Limits.Adaptive.Admission = true
		o.ExtendedWorkload = seed%2 == 0
		checkSeed(t, o)
	}
}
