package budgeter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers whose bodies close the idle connections of other hosts, of which each counts more than a small body.
func TestOtherHostsDoNotPayForCallers(t *testing.T) {
	b := newBudget(1000)
	for i := range 40 {
		assert.Equal(t, b.Open(start, fmt.Sprint("host", i), ClassPeers, testLimit/200).Answer, Granted)
		open(t, b, start, fmt.Sprint("body", i), fmt.Sprint("account", i%10))
		take(t, b, start, fmt.Sprint("body", i), testLimit/80)
	}
	now := start.Add(10 * time.Second)
	open(t, b, now, "new", "new")
	decision := b.Take(now, "new", testLimit/4)
	assert.Equal(t, decision.Answer, Wait)
	for _, victim := range decision.Victims {
		assert.Equal(t, b.Clients[victim].Class, ClassCallers, victim)
	}
	assert.Equal(t, b.Open(now, "host", ClassPeers, testLimit/4).Answer, Granted, "other hosts pay for each other")
}

// Guards against idle connections to the address of other hosts that keep the memory from callers: only a part of it is kept for other hosts.
func TestOtherHostsPayAboveTheirPart(t *testing.T) {
	b := newBudget(1000)
	for i := range 100 {
		assert.Equal(t, b.Open(start, fmt.Sprint("host", i), ClassPeers, testLimit*7/1000).Answer, Granted)
	}
	open(t, b, start, "new", "new")
	decision := b.Take(start.Add(time.Second), "new", testLimit/4)
	assert.Equal(t, decision.Answer, Wait)
	assert.Assert(t, len(decision.Victims) > 0)
}

// Guards against more connections than there are descriptors, when many requests are refused whose connections have not ended yet.
func TestClosingConnectionsAreBounded(t *testing.T) {
	b := newBudget(8)
	for i := range 100 {
		key := fmt.Sprint(i)
		if b.Open(start, key, ClassCallers, 0).Answer != Granted {
			continue
		}
		assert.Assert(t, b.Enter(start, key, PhaseBody))
		assert.Equal(t, b.Take(start, key, 2*testLimit).Answer, Refused)
	}
	assert.Equal(t, b.Connections[ClassCallers], 8+maxClosing)
	b.Close("0")
	assert.Equal(t, b.Open(start, "new", ClassCallers, 0).Answer, Granted)
}
