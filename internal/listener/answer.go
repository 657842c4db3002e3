package listener

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

// answer keeps the frames of one forwarded request, so that they can be read again on a new connection.
type answer struct {
	mutex    sync.Mutex
	changed  chan struct{}
	started  *peerv1.RunResponse
	chunks   []*peerv1.RunResponse
	last     *peerv1.RunResponse
	readers  int
	detached *time.Timer
	cancel   context.CancelFunc
}

// Started keeps the frame that names the backend server.
func (a *answer) Started(backend string, _ uint32) {
	a.add(func() {
		a.started = &peerv1.RunResponse{Frame: &peerv1.RunResponse_Started{Started: &peerv1.Started{BackendServer: backend}}}
	})
}

// Chunk keeps a piece of the answer.
func (a *answer) Chunk(chunk dispatcher.Chunk) error {
	a.add(func() {
		frame := &peerv1.Chunk{
			Offset: uint64(len(a.chunks)), Tokens: uint32(chunk.Tokens), Data: chunk.Data,
			Status: uint32(chunk.Status), ContentType: chunk.ContentType,
		}
		a.chunks = append(a.chunks, &peerv1.RunResponse{Frame: &peerv1.RunResponse_Chunk{Chunk: frame}})
	})
	return nil
}

// Ended keeps the frame that says that the answer is whole.
func (a *answer) Ended(tokens int) {
	a.add(func() {
		a.last = &peerv1.RunResponse{Frame: &peerv1.RunResponse_Ended{Ended: &peerv1.Ended{Tokens: uint32(tokens)}}}
	})
}

// Refused keeps the frame that says that the request ended without a whole answer.
func (a *answer) Refused(refusal reducer.Refuse) {
	a.add(func() {
		a.last = &peerv1.RunResponse{Frame: &peerv1.RunResponse_Refused{Refused: &peerv1.Refused{
			Outcome: refusal.Outcome.String(), Reason: refusal.Reason.String(), Holder: refusal.Holder, Replicas: uint32(refusal.Replicas),
		}}}
	})
}

// add changes the frames and wakes the readers.
func (a *answer) add(change func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

// copyTo streams the frames from an offset on until the last, with signs of life between them.
func (a *answer) copyTo(ctx context.Context, stream *connect.ServerStream[peerv1.RunResponse], offset uint64) error {
	a.attach()
	defer a.detach()
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	started := false
	for {
		frames, last, changed := a.next(int(offset), started)
		for _, f := range frames {
			if err := stream.Send(f); err != nil {
				return err
			}
			if f.GetChunk() != nil {
				offset++
			}
			started = started || f.GetStarted() != nil
		}
		if last {
			return nil
		}
		select {
		case <-changed:
		case <-alive.C:
			if err := stream.Send(&peerv1.RunResponse{Frame: &peerv1.RunResponse_Alive{Alive: &peerv1.Alive{}}}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *answer) next(offset int, started bool) (frames []*peerv1.RunResponse, last bool, changed <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.started != nil && !started {
		frames = append(frames, a.started)
	}
	if offset < len(a.chunks) {
		frames = append(frames, a.chunks[offset:]...)
	}
	if a.last != nil {
		frames = append(frames, a.last)
	}
	return frames, a.last != nil, a.changed
}

func (a *answer) attach() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.readers++
	if a.detached != nil {
		a.detached.Stop()
	}
}

// detach ends the request when no connection reads its answer for a while.
func (a *answer) detach() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.readers--
	if a.readers == 0 && a.last == nil {
		a.detached = time.AfterFunc(detachedFor, a.cancel)
	}
}

func (a *answer) waitEnd(limit time.Duration) {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	for {
		_, last, changed := a.next(0, true)
		if last {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		}
	}
}
