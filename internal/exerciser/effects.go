package exerciser

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/translator"
)

// executeEffect executes an effect of a simulated host.
func (s *Simulation[P]) executeEffect(h *Host, effect reducer.Effect) {
	incarnation := h.Incarnation
	switch e := effect.(type) {
	case reducer.SendPeer:
		s.sendPeer(h, e)
	case reducer.ReadUpdates:
		s.readUpdates(h, e)
	case reducer.UpdatesResponse:
		s.sendUpdates(h, e)
	case reducer.WatchConfigService:
		s.watchConfigService(h, e)
	case reducer.ListConfigService:
		s.listConfigService(h, e)
	case reducer.OrderAdapter:
		s.sendOrder(h, e)
	case reducer.ReadReport:
		s.readReport(h, e)
	case reducer.ProbeBackend:
		s.probe(h, e)
	case reducer.Dispatch:
		s.dispatch(h, e)
	case reducer.Refuse:
		s.refuse(h, e)
	case reducer.DeliverFailure:
		s.deliverFailure(h, e)
	case reducer.EndAttempt:
		s.endAttempt(h, e)
	case reducer.Cancel:
		s.cancel(h, e)
	case reducer.WakeAt:
		s.after(max(e.At.Sub(s.Now), time.Millisecond), func() { s.post(h, incarnation, reducer.Tick{}) })
	case reducer.Drained:
		h.Up = false
	case reducer.LogEvent:
		s.recordLogEvent(h, e)
	}
}

// sendPeer delivers an envelope, which may be lost.
func (s *Simulation[P]) sendPeer(h *Host, e reducer.SendPeer) {
	s.countEnvelope(h, e)
	to := s.host(e.Address)
	if to == nil || !to.Up || !s.connected(h.ID, to.ID) || s.rng.Float64() < s.Options.DropRate || s.lost() {
		return
	}
	event := reducer.PeerReceived{
		From: h.ID, Incarnation: h.State.Self.Incarnation, Messages: e.Messages,
		Stamp: reducer.Stamp{Incarnation: h.Incarnation, Uptime: s.Now.Sub(h.StartedAt)}, Reply: e.ReplyTo != reducer.Stamp{},
	}
	if event.Reply && e.ReplyTo.Incarnation == to.Incarnation {
		event.RequestedAt = to.StartedAt.Add(e.ReplyTo.Uptime)
	}
	incarnation := to.Incarnation
	s.after(s.messageDelay(), func() { s.post(to, incarnation, event) })
}

// countEnvelope adds the encoded size of an envelope and of its messages to the totals.
func (s *Simulation[P]) countEnvelope(h *Host, e reducer.SendPeer) {
	if s.Options.MeasureCost {
		s.Envelopes++
		envelope := translator.EncodeEnvelope(h.ID, h.State.Self.Incarnation, e.Messages)
		s.EnvelopeBytes += proto.Size(envelope)
		for i, m := range e.Messages {
			kind := strings.TrimPrefix(fmt.Sprintf("%T", m), "reducer.")
			s.Messages[kind]++
			s.MessageBytes[kind] += proto.Size(envelope.GetMessages()[i])
		}
	}
}

func (s *Simulation[P]) readUpdates(h *Host, e reducer.ReadUpdates) {
	from := s.host(e.From)
	incarnation := h.Incarnation
	if from == nil || !from.Up || from.Frozen || !s.connected(h.ID, e.From) || !s.connected(e.From, h.ID) {
		s.after(peerTimeout, func() { s.post(h, incarnation, reducer.UpdatesRead{From: e.From, Failed: true}) })
		return
	}
	fromIncarnation := from.Incarnation
	s.after(s.messageDelay(), func() { s.post(from, fromIncarnation, reducer.UpdatesRequested{ReplyID: h.ID, Since: e.Since}) })
}

func (s *Simulation[P]) sendUpdates(from *Host, e reducer.UpdatesResponse) {
	to := s.host(e.ReplyID)
	incarnation := to.Incarnation
	event := reducer.UpdatesRead{From: from.ID, Snapshot: e.Snapshot, Version: e.Version, SignificantVersion: e.SignificantVersion,
		EraAge: e.EraAge, Documents: e.Documents}
	s.after(s.messageDelay(), func() { s.post(to, incarnation, event) })
}

func (s *Simulation[P]) configServiceReachable(h *Host) bool {
	return !s.configServiceDown && !s.partitionedFromConfigService[h.ID] && !s.partitionBlocksConfigService(h)
}

// watchConfigService responds to a host's long poll of the configuration service as soon as there is a change, or when the wait is over.
func (s *Simulation[P]) watchConfigService(h *Host, e reducer.WatchConfigService) {
	s.ConfigServiceCalls++
	incarnation := h.Incarnation
	requestedAt := s.Now
	var poll func()
	poll = func() {
		if s.configServiceCallFails(h) {
			s.after(callTimeout, func() {
				s.post(h, incarnation, reducer.ConfigRead{RequestedAt: requestedAt, Failed: true, Since: e.Since, Era: e.Since.Era})
			})
			return
		}
		changes, expired := s.ConfigService.ChangesSince(e.Since.Revision)
		if len(changes) == 0 && !expired && s.Now.Sub(requestedAt) < e.Wait {
			s.after(tickInterval, poll)
			return
		}
		event := reducer.ConfigRead{
			RequestedAt: requestedAt, Expired: expired, Since: e.Since, Era: s.ConfigService.Era, Version: s.ConfigService.Version(), Documents: changes,
		}
		s.after(configServiceLatency+s.configServiceDelay, func() { s.post(h, incarnation, event) })
	}
	poll()
}

func (s *Simulation[P]) listConfigService(h *Host, e reducer.ListConfigService) {
	s.ConfigServiceLists++
	incarnation := h.Incarnation
	event := reducer.ConfigRead{
		RequestedAt: s.Now, Snapshot: true, Era: s.ConfigService.Era, Version: s.ConfigService.Version(), Documents: s.ConfigService.List(""),
	}
	if s.configServiceCallFails(h) {
		s.after(callTimeout, func() {
			s.post(h, incarnation, reducer.ConfigRead{RequestedAt: event.RequestedAt, Failed: true, Era: e.Era})
		})
		return
	}
	s.after(configServiceLatency+s.configServiceDelay, func() { s.post(h, incarnation, event) })
}

// configServiceCallFails reports whether a host's call to the configuration service gets no response.
func (s *Simulation[P]) configServiceCallFails(h *Host) bool {
	if h.deadConnectionCalls > 0 {
		h.deadConnectionCalls--
		return true
	}
	return !s.configServiceReachable(h)
}

// sendOrder delivers an order to its backend server, unless it has expired before it is sent.
func (s *Simulation[P]) sendOrder(h *Host, e reducer.OrderAdapter) {
	incarnation := h.Incarnation
	if !s.Now.Before(e.NotAfter) {
		s.post(h, incarnation, reducer.EffectExpired{Backend: e.Backend, Adapter: e.Adapter, Unload: e.Unload})
		return
	}
	s.after(s.messageDelay(), func() {
		b, ok := s.Backends[e.Backend]
		event := reducer.OrderEnded{Backend: e.Backend, StartedUnixMs: e.StartedUnixMs, Adapter: e.Adapter, Unload: e.Unload,
			Result: reducer.OrderUnknown}
		if !ok || !b.Up || !s.connected(h.ID, e.Backend) {
			s.after(callTimeout, func() { s.post(h, incarnation, event) })
			return
		}
		s.Checker.checkRateLimit(s.Now, s.Options.Limits, s.faultFree(h), b, h)
		s.Checker.checkOrder(s.Now, b, modeler.Order{Holder: h.ID, Fence: e.Fence, At: s.Now}, s.Options.Limits.OrderLeaseDuration,
			s.describeHosts)
		if e.StartedUnixMs != b.Info.StartedUnixMs {
			event.Result = reducer.OrderRefused
		} else if e.Unload {
			event.Result = b.Engine.Unload(s.Now, e.Adapter)
		} else {
			s.slowLoads(b)
			var overCapacity bool
			if event.Result, overCapacity = b.Engine.Load(s.Now, e.Adapter); overCapacity {
				s.Checker.addViolation(s.Now, "places", e.Backend+" got an order to load an adapter while no adapter slot was free, from "+h.ID)
			}
		}
		s.after(s.messageDelay(), func() { s.post(h, incarnation, event) })
	})
}

// slowLoads sets how long the next load of an engine takes, with Options.StoreTransit.
func (s *Simulation[P]) slowLoads(b *Backend) {
	if s.Options.StoreTransit <= 0 {
		return
	}
	transit := 1
	for _, other := range s.Backends {
		transit += other.Engine.LoadingFromStore(s.Now)
	}
	b.Engine.Spec.LoadTime = s.Options.EngineSpec.LoadTime * time.Duration(max(transit, s.Options.StoreTransit)) / time.Duration(s.Options.StoreTransit)
}

// probe tells a host whether a backend server refuses connections.
func (s *Simulation[P]) probe(h *Host, e reducer.ProbeBackend) {
	incarnation := h.Incarnation
	event := reducer.BackendProbed{Backend: e.Backend, StartedUnixMs: e.StartedUnixMs, RequestedAt: s.Now}
	b, ok := s.Backends[e.Backend]
	event.Refused = ok && s.connected(h.ID, e.Backend) && (!b.Up && b.refuses || b.Info.StartedUnixMs != e.StartedUnixMs)
	for _, id := range e.Others {
		other := s.Backends[id]
		event.OthersRefuse = event.OthersRefuse || !other.Up && other.refuses
	}
	s.after(2*s.Options.Latency, func() { s.post(h, incarnation, event) })
}

func (s *Simulation[P]) readReport(h *Host, e reducer.ReadReport) {
	incarnation := h.Incarnation
	event := reducer.BackendReported{Backend: e.Backend, StartedUnixMs: e.StartedUnixMs, RequestedAt: s.Now}
	b, ok := s.Backends[e.Backend]
	if !ok || !b.Up || !s.connected(h.ID, e.Backend) || b.Info.StartedUnixMs != e.StartedUnixMs {
		event.Failed = true
		delay := callTimeout
		if ok && b.refuses {
			delay = 2 * s.Options.Latency
		}
		s.after(delay, func() { s.post(h, incarnation, event) })
		return
	}
	s.after(s.messageDelay(), func() {
		s.Checker.checkRateLimit(s.Now, s.Options.Limits, s.faultFree(h), b, h)
		event.Adapters, event.AcceptedOrders = b.Engine.Report(s.Now)
		s.after(s.messageDelay(), func() { s.post(h, incarnation, event) })
	})
}
