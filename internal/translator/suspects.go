package translator

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

// Bounds of what a message may state of suspect content; a larger number counts as the bound.
const (
	maxSuspectAge  = 24 * time.Hour
	maxDepth       = 1 << 10
	maxStrikes     = 1 << 10
	maxCrashesTold = 64
)

func encodeSuspects(m reducer.Suspects) *peerv1.Suspects {
	w := &peerv1.Suspects{}
	for _, p := range m.Contents {
		content := &peerv1.SuspectContent{
			Content: p.Content, Depth: uint32(p.Depth), QuarantineLeftMs: uint64(p.QuarantineLeft.Milliseconds()), Strikes: uint32(p.Strikes),
		}
		if p.Answered {
			content.AnsweredAgeMs = uint64(max(p.AnsweredAge.Milliseconds(), 0)) + 1
		}
		for _, c := range p.Crashes {
			content.Crashes = append(content.Crashes, &peerv1.SuspectCrash{Server: c.Server, Request: c.Request, AgeMs: uint64(max(c.Age.Milliseconds(), 0)), AnswerBegun: c.AnswerBegun})
		}
		w.Contents = append(w.Contents, content)
	}
	return w
}

func decodeSuspects(w *peerv1.Suspects) reducer.Suspects {
	m := reducer.Suspects{}
	for _, p := range w.GetContents() {
		content := reducer.SuspectContent{
			Content: p.GetContent(), Depth: int(min(p.GetDepth(), maxDepth)), QuarantineLeft: boundedAge(p.GetQuarantineLeftMs()),
			Strikes: int(min(p.GetStrikes(), maxStrikes)), Answered: p.GetAnsweredAgeMs() > 0,
		}
		if content.Answered {
			content.AnsweredAge = boundedAge(p.GetAnsweredAgeMs() - 1)
		}
		for _, c := range p.GetCrashes()[:min(len(p.GetCrashes()), maxCrashesTold)] {
			content.Crashes = append(content.Crashes, reducer.SuspectCrash{Server: c.GetServer(), Request: c.GetRequest(), Age: boundedAge(c.GetAgeMs()), AnswerBegun: c.GetAnswerBegun()})
		}
		m.Contents = append(m.Contents, content)
	}
	return m
}

// boundedAge returns a number of milliseconds as a duration of at most maxSuspectAge.
func boundedAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxSuspectAge.Milliseconds()))) * time.Millisecond
}
