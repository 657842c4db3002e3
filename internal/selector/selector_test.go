package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHomeKeepsARequestUntilAnotherIsClearlyFaster(t *testing.T) {
	candidates := []Candidate{{Backend: "home", Delay: 120 * time.Millisecond, Near: true}, {Backend: "second", Rank: 1, Near: true}}
	assert.Equal(t, Expected{}.Choose(candidates), 0)
	candidates[0].Delay = 300 * time.Millisecond
	assert.Equal(t, Expected{}.Choose(candidates), 1)
	assert.Equal(t, Home{}.Choose(candidates), 0)
}

func TestNearGoesBeforeFarAndTiesAreDrawn(t *testing.T) {
	candidates := []Candidate{{Backend: "far", Tie: 1}, {Backend: "near", Near: true, Tie: 2}, {Backend: "near too", Near: true, Tie: 1}}
	assert.Equal(t, Expected{}.Choose(candidates), 2)
}

func TestUseDecays(t *testing.T) {
	var u Use
	now := time.Unix(1000, 0)
	u.Add(now, 4, time.Second)
	assert.Equal(t, u.Value(now.Add(2*time.Second), time.Second), 1.0)
}
