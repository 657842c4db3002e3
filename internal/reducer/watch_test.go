package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// hearWord brings a peer's word that nothing newer than this host knows was published; asked is when it was asked for, if it was.
func (f *fixture) hearWord(age time.Duration, asked time.Time) []Effect {
	word := Summary{Revision: f.state.Documents.Relayed, ConfirmedAge: age}
	return f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{word}, ReplyID: "r", AskedAt: asked})
}

// An answer of the platform tells what was published when it was formed, not when this host gets round to it.
func TestLateAnswerOfThePlatformIsDatedFromWhenItWasAskedFor(t *testing.T) {
	f := newFixture(t)
	asked := f.now
	f.now = f.now.Add(5 * time.Second)
	f.reduce(PlatformRead{AskedAt: asked, Revision: f.store})
	assert.Equal(t, f.state.Watch.ConfirmedAt, asked.Add(watchWait))

	f.now = f.now.Add(5 * time.Second)
	f.reduce(PlatformRead{AskedAt: asked.Add(time.Second), Whole: true, Revision: f.store})
	assert.Equal(t, f.state.Watch.ConfirmedAt, asked.Add(time.Second))
}

// A word that came by itself may have waited anywhere; taken for new at each host, it would never grow old.
func TestWordOfAPeerCountsOnlyAsAnAnswerFromWhenItWasAskedFor(t *testing.T) {
	f := newFixture(t)
	f.hearFiveHosts()
	before := f.state.Watch.ConfirmedAt
	f.after(time.Second)
	f.hearWord(0, time.Time{})
	assert.Equal(t, f.state.Watch.ConfirmedAt, before)

	asked := f.now.Add(-400 * time.Millisecond)
	f.hearWord(100*time.Millisecond, asked)
	assert.Equal(t, f.state.Watch.ConfirmedAt, asked.Add(-100*time.Millisecond))
}

// A peer whose word is older than this host's must hear of the younger one, since it can take it from an answer alone.
func TestPeerWithAnOlderWordIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.hearFiveHosts()
	f.reduce(PlatformRead{AskedAt: f.now, Revision: f.store})
	answer := must[SendPeer](t, f.hearWord(time.Second, time.Time{}))
	assert.Equal(t, answer.To, "host-1")
	assert.DeepEqual(t, answer.Messages, []Message{Summary{Revision: f.state.Documents.Relayed}})

	_, answered := find[SendPeer](f.hearWord(0, time.Time{}))
	assert.Assert(t, !answered)
}
