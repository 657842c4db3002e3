package translator

import (
	"slices"
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
	// maxLossesTold, maxContentsTold and maxContentTold bound the lost requests in one message, their contents, and the length in bytes of the name
	// of one content.
	maxLossesTold   = 256
	maxContentsTold = 8 << 10
	maxContentTold  = 128
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
			content.Crashes = append(content.Crashes, encodeCrash(c))
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
			content.Crashes = append(content.Crashes, decodeCrash(c))
		}
		m.Contents = append(m.Contents, content)
	}
	return m
}

func encodeCrash(c reducer.SuspectCrash) *peerv1.SuspectCrash {
	return &peerv1.SuspectCrash{Server: c.Server, Request: c.Request, AgeMs: uint64(max(c.Age.Milliseconds(), 0)), AnswerBegun: c.AnswerBegun, Trial: c.Trial}
}

func decodeCrash(w *peerv1.SuspectCrash) reducer.SuspectCrash {
	return reducer.SuspectCrash{
		Server: w.GetServer(), Request: w.GetRequest(), Age: boundedAge(w.GetAgeMs()), AnswerBegun: w.GetAnswerBegun(), Trial: w.GetTrial(),
	}
}

func encodeLosses(m reducer.Losses) *peerv1.LostRequests {
	w := &peerv1.LostRequests{}
	for _, loss := range m.Requests {
		w.Requests = append(w.Requests, &peerv1.LostRequest{Id: loss.ID, Crash: encodeCrash(loss.Crash), Contents: loss.Contents})
	}
	return w
}

func decodeLosses(w *peerv1.LostRequests) reducer.Losses {
	m := reducer.Losses{}
	left := maxContentsTold
	for _, p := range w.GetRequests()[:min(len(w.GetRequests()), maxLossesTold)] {
		left -= len(p.GetContents())
		tooLong := slices.ContainsFunc(p.GetContents(), func(content string) bool { return len(content) > maxContentTold })
		if left < 0 || tooLong {
			// A loss counts whole or not at all: content that it lacked would be taken for answered.
			continue
		}
		m.Requests = append(m.Requests, reducer.Loss{ID: p.GetId(), Crash: decodeCrash(p.GetCrash()), Contents: p.GetContents()})
	}
	return m
}

// boundedAge returns a number of milliseconds as a duration of at most maxSuspectAge.
func boundedAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxSuspectAge.Milliseconds()))) * time.Millisecond
}
