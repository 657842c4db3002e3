package exerciser

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/translator"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

// unreachableAfter is how long it takes a host to find that a peer cannot be reached.
const unreachableAfter = 500 * time.Millisecond

// carryOut is the executor of the modelled hosts.
func (w *World[P]) carryOut(h *Host, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.SendPeer:
		w.sendPeer(h, e)
	case reducer.Refuse:
		w.refuse(h, e)
	case reducer.Forward:
		w.forward(h, e)
	case reducer.Dispatch:
		w.dispatch(h, e)
	case reducer.Cancel:
		w.cancel(h, e)
	case reducer.LoadAdapter:
		w.load(h, e)
	case reducer.PollBackend:
		w.poll(h, e)
	case reducer.WatchPlatform:
		w.watchPlatform(h, e)
	case reducer.ReadShard:
		w.readShard(h, e)
	case reducer.ReadUpdates:
		w.readUpdates(h, e)
	case reducer.UpdatesAnswer:
		w.answerUpdates(h, e)
	case reducer.LocateAnswer:
		w.located(e)
	case reducer.Drained:
		h.Up = false
		w.hostGone(h)
	}
}

// sendPeer delivers an envelope, or loses, doubles or delays it.
func (w *World[P]) sendPeer(h *Host, e reducer.SendPeer) {
	to, ok := w.hosts[e.To]
	if !ok || w.cut(h.ID, e.To) || w.random.Float64() < w.Options.DropShare {
		return
	}
	w.Messages += uint64(len(e.Messages))
	w.Envelopes++
	event := reducer.PeerReceived{
		From: h.ID, Incarnation: h.State.Self.Incarnation, ToIncarnation: e.ToIncarnation, Leaving: e.Leaving, Messages: e.Messages,
	}
	if w.Options.Encode {
		event = w.overTheWire(h, e)
	}
	w.after(w.delay(), func() { w.post(to, event) })
	if w.random.Float64() < w.Options.DoubleShare {
		w.after(w.delay()+w.delay(), func() { w.post(to, event) })
	}
}

// overTheWire encodes an envelope, counts its bytes and decodes it again.
func (w *World[P]) overTheWire(h *Host, e reducer.SendPeer) reducer.PeerReceived {
	data, err := proto.Marshal(translator.Envelope(h.ID, h.State.Self.Incarnation, e))
	if err != nil {
		w.Checks.broken(w.at(), "envelope_encodes", err.Error())
	}
	w.EnvelopeBytes += uint64(len(data))
	var request peerv1.ExchangeRequest
	if err := proto.Unmarshal(data, &request); err != nil {
		w.Checks.broken(w.at(), "envelope_decodes", err.Error())
	}
	return translator.Received(&request)
}

func (w *World[P]) readUpdates(h *Host, e reducer.ReadUpdates) {
	from := w.peerOf(e)
	if from == nil || !from.Up || w.cut(h.ID, from.ID) || w.paused(from) {
		w.postLater(h, unreachableAfter, reducer.UpdatesRead{From: e.From, Failed: true})
		return
	}
	w.sequence++
	id := h.ID + "/updates/" + time.Duration(w.sequence).String()
	w.Callers.updates(id, func(answer reducer.UpdatesAnswer) {
		w.postLater(h, w.delay(), reducer.UpdatesRead{From: from.ID, Revision: answer.Revision, Updates: answer.Updates, More: answer.More})
	})
	w.postLater(from, w.delay(), reducer.UpdatesAsked{ReplyID: id, Have: e.Have})
	w.after(4*time.Second, func() {
		if w.Callers.dropUpdates(id) {
			w.post(h, reducer.UpdatesRead{From: e.From, Failed: true})
		}
	})
}

func (w *World[P]) peerOf(e reducer.ReadUpdates) *Host {
	if e.From != "" {
		return w.hosts[e.From]
	}
	for _, s := range w.Options.Shards {
		for _, h := range s.Hosts {
			if h.PeerAddress == e.Address {
				return w.hosts[h.ID]
			}
		}
	}
	return nil
}

func (w *World[P]) answerUpdates(_ *Host, e reducer.UpdatesAnswer) {
	w.Callers.answerUpdates(e)
}
