package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstRankedIsChosenUntilAnotherIsClearlyFaster(t *testing.T) {
	candidates := []Candidate{{Backend: "home", Delay: 120 * time.Millisecond, SameDomain: true},
		{Backend: "second", Rank: 1, SameDomain: true}}
	assert.Equal(t, LeastDelay{}.Choose(candidates), 0)
	candidates[0].Delay = 300 * time.Millisecond
	assert.Equal(t, LeastDelay{}.Choose(candidates), 1)
	assert.Equal(t, FirstRanked{}.Choose(candidates), 0)
}

func TestSameDomainIsPreferredAndTiesAreBroken(t *testing.T) {
	candidates := []Candidate{{Backend: "far", TieBreaker: 1}, {Backend: "near", SameDomain: true, TieBreaker: 2},
		{Backend: "near too", SameDomain: true, TieBreaker: 1}}
	assert.Equal(t, LeastDelay{}.Choose(candidates), 2)
}

func TestDecayingCountDecays(t *testing.T) {
	var c DecayingCount
	now := time.Unix(1000, 0)
	c.Add(now, 4, time.Second)
	assert.Equal(t, c.Value(now.Add(2*time.Second), time.Second), 1.0)
}
