package e2e

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/platform/standin"
)

// injectFault injects one random fault and schedules its repair; faults overlap.
func (s *soak) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	b := s.platform.Servers[s.random.IntN(len(s.platform.Servers))]
	duration := time.Duration(200+s.random.IntN(3800)) * time.Millisecond
	injectors := []func(h *host, b *standin.Server, duration time.Duration) string{
		s.pause, s.kill, s.killAll, s.terminate, s.reload, s.disruptPeers, s.disruptConfigService, s.disruptBackend, s.setFaultyBehavior, s.crash,
		s.drain, s.failConfigService, s.configure, s.becomeCold, s.killAllBesideCold, s.restartBesideCold, s.limitRate,
	}
	if *soakReturns {
		injectors = append(injectors, s.returnFromCopy, s.returnFromCopy)
	}
	description := injectors[s.random.IntN(len(injectors))](h, b, duration)
	s.faults = append(s.faults, fmt.Sprintf("%s %s for %v", time.Now().Format("05.000"), description, duration))
}

// repairAfter repairs a fault after its duration. The stand-in's servers then skip the check of orders for orderCheckPause, since orders
// that the fault delayed may still arrive.
func (s *soak) repairAfter(duration time.Duration, repair func()) {
	s.repairs.Go(func() {
		time.Sleep(duration)
		repair()
		for _, b := range s.platform.Servers {
			b.PauseOrderChecks(orderCheckPause)
		}
	})
}

// alreadyReserved reserves a host for a fault of its process, or reports that another fault has reserved the host already.
func (h *host) alreadyReserved() bool { return !h.processFault.CompareAndSwap(false, true) }

func (s *soak) pause(h *host, _ *standin.Server, duration time.Duration) string {
	if h.alreadyReserved() {
		return h.name + " already has a process fault"
	}
	process := h.command.Process
	_ = process.Signal(syscall.SIGSTOP)
	s.excuse(h, duration)
	s.repairAfter(duration, func() {
		_ = process.Signal(syscall.SIGCONT)
		s.excuse(h, 0)
		h.processFault.Store(false)
	})
	return h.name + " paused"
}

func (s *soak) kill(h *host, _ *standin.Server, duration time.Duration) string {
	if h.alreadyReserved() {
		return h.name + " already has a process fault"
	}
	_ = h.command.Process.Kill()
	<-h.exited
	s.excuse(h, duration/2)
	s.repairAfter(duration/2, func() {
		s.start(h)
		h.processFault.Store(false)
	})
	return h.name + " killed"
}

func (s *soak) killAll(_ *host, b *standin.Server, duration time.Duration) string {
	for _, h := range s.hosts {
		s.kill(h, b, duration)
	}
	return "all hosts killed"
}

func (s *soak) terminate(h *host, _ *standin.Server, _ time.Duration) string {
	if h.alreadyReserved() {
		return h.name + " already has a process fault"
	}
	_ = h.command.Process.Signal(syscall.SIGTERM)
	s.excuse(h, 0)
	s.repairAfter(0, func() {
		<-h.exited
		s.excuse(h, 0)
		s.start(h)
		h.processFault.Store(false)
	})
	return h.name + " terminated"
}

// reload changes a setting and sends the host SIGHUP twice. The signals may arrive while the host starts or shuts down.
func (s *soak) reload(h *host, _ *standin.Server, _ time.Duration) string {
	text, err := os.ReadFile(h.settingsPath)
	assert.NilError(s.t, err)
	base, _, _ := strings.Cut(string(text), "log_bytes_per_second")
	assert.NilError(s.t, os.WriteFile(h.settingsPath,
		fmt.Appendf([]byte(base), "log_bytes_per_second: %d\n", 100_000+s.random.IntN(1000)), 0o600))
	if !h.processFault.Load() {
		_ = h.command.Process.Signal(syscall.SIGHUP)
		_ = h.command.Process.Signal(syscall.SIGHUP)
	}
	return h.name + " reloaded"
}

// disruptProxy delays the connections of a proxy, holds them in one or both directions, or resets them.
func (s *soak) disruptProxy(p *proxy, duration time.Duration) string {
	switch s.random.IntN(5) {
	case 0:
		p.setFaults(time.Duration(20+s.random.IntN(200))*time.Millisecond, false, false)
	case 1:
		p.setFaults(0, true, false)
	case 2:
		p.setFaults(0, false, true)
	case 3:
		p.setFaults(0, true, true)
	default:
		p.resetAll()
		return resetDescription
	}
	s.repairAfter(duration, func() { p.setFaults(0, false, false) })
	return fmt.Sprintf("disrupted (delay %v, held to target %t, held from target %t)", p.delay, p.holdToTarget, p.holdFromTarget)
}

// disruptPeers disrupts the connections from other hosts to a host. If that cuts it off, it is excused from rate limits.
func (s *soak) disruptPeers(h *host, _ *standin.Server, duration time.Duration) string {
	description := s.disruptProxy(h.peerProxy, duration)
	if h.peerProxy.holds() {
		s.excuse(h, duration)
	}
	return "peers of " + h.name + " " + description
}

func (s *soak) disruptConfigService(h *host, _ *standin.Server, duration time.Duration) string {
	return "configuration service connections of " + h.name + " " + s.disruptProxy(h.configServiceProxy, duration)
}

// disruptBackend disrupts the connections to a backend server. Requests that the fault holds back do not count for the server's bounds, since
// they arrive together, and hosts that its responses do not reach are excused from its rate limit.
func (s *soak) disruptBackend(_ *host, b *standin.Server, duration time.Duration) string {
	description := s.disruptProxy(s.backendProxies[b.ID], duration)
	if description == resetDescription {
		return b.ID + " " + description
	}
	duration += arrivalCheckPause
	b.PauseArrivalChecks(duration)
	for _, h := range s.hosts {
		b.ExcuseHost(h.name, time.Now().Add(duration))
	}
	return b.ID + " " + description
}

func (s *soak) setFaultyBehavior(_ *host, b *standin.Server, duration time.Duration) string {
	behavior := standin.Behavior(1 + s.random.IntN(int(standin.BehaviorDisconnecting)))
	b.SetBehavior(behavior)
	s.repairAfter(duration, func() { b.SetBehavior(standin.BehaviorNormal) })
	return fmt.Sprintf("%s with behavior %d", b.ID, behavior)
}

func (s *soak) crash(_ *host, b *standin.Server, duration time.Duration) string {
	s.platform.Crash(b.ID)
	s.repairAfter(duration, func() { s.platform.Restart(b.ID) })
	return b.ID + " crashed"
}

func (s *soak) drain(_ *host, b *standin.Server, duration time.Duration) string {
	s.platform.Drain(b.ID)
	s.repairAfter(drainDeadline+duration, func() { s.platform.Restart(b.ID) })
	return b.ID + " draining"
}

// excuse excuses a host from the rate limits of all backend servers while a fault of the given duration restarts, freezes or cuts it off.
func (s *soak) excuse(h *host, duration time.Duration) {
	for _, b := range s.platform.Servers {
		b.ExcuseHost(h.name, time.Now().Add(duration))
	}
}

// limitRate makes a backend server name a rate limit for long enough that its bound applies, then another one for as long, and then none.
func (s *soak) limitRate(_ *host, b *standin.Server, duration time.Duration) string {
	first, second := s.drawRateLimit(), s.drawRateLimit()
	duration = contactDuration + limitedDuration + duration/4
	b.SetRateLimit(first)
	s.repairAfter(duration, func() { b.SetRateLimit(second) })
	s.repairAfter(2*duration, func() { b.SetRateLimit(0) })
	return fmt.Sprintf("%s limited to %g and then %g requests/s, each for %v,", b.ID, first, second, duration)
}

// drawRateLimit draws a limit below the rate at which the callers send requests to one backend server.
func (s *soak) drawRateLimit() float64 { return float64(2+s.random.IntN(20)) / 2 }

// becomeCold makes an engine cold again while it runs.
func (s *soak) becomeCold(_ *host, _ *standin.Server, _ time.Duration) string {
	engines := slices.DeleteFunc(slices.Clone(s.platform.Servers), func(b *standin.Server) bool { return b.ColdDuration == 0 })
	id, delay := engines[s.random.IntN(len(engines))].ID, s.drawPublicationDelay()
	s.platform.BecomeCold(id, delay)
	return fmt.Sprintf("%s cold again, published %v late,", id, delay)
}

// killAllBesideCold kills all hosts in the cold start of an engine, so that hosts that know nothing of it yet send to it.
func (s *soak) killAllBesideCold(h *host, b *standin.Server, duration time.Duration) string {
	return s.becomeCold(h, b, duration) + " and " + s.killAll(h, b, duration)
}

// restartBesideCold kills a host in the cold start of an engine and starts it again within the second for which the engine's bound holds.
func (s *soak) restartBesideCold(h *host, b *standin.Server, duration time.Duration) string {
	return s.becomeCold(h, b, duration) + " and " + s.kill(h, b, time.Duration(200+s.random.IntN(1000))*time.Millisecond)
}

// failConfigService makes the configuration service reject all calls for a time, or compacts its change history.
func (s *soak) failConfigService(_ *host, _ *standin.Server, duration time.Duration) string {
	if s.random.IntN(3) == 0 {
		s.platform.Config.Compact()
		return "configuration service history compacted"
	}
	s.platform.Config.SetDown(true)
	s.repairAfter(duration, func() { s.platform.Config.SetDown(false) })
	return "configuration service down"
}

// returnFromCopy makes the configuration service unavailable for a time and brings it back from a copy of before; its writers write the lost changes
// again a little later.
func (s *soak) returnFromCopy(_ *host, _ *standin.Server, duration time.Duration) string {
	saved := s.platform.Config.Copy()
	delay := time.Duration(s.random.IntN(1200)) * time.Millisecond
	s.repairAfter(duration, func() {
		s.platform.Config.SetDown(true)
		time.Sleep(duration / 4)
		lost := s.platform.Config.ReturnFromCopy(saved)
		s.platform.Config.SetDown(false)
		time.Sleep(delay)
		s.platform.Config.WriteAgain(saved, lost)
	})
	return fmt.Sprintf("configuration service comes back from a copy of now, lost changes are written again %v later,", delay)
}

// drawPublicationDelay draws the time from the beginning of a cold start to its publication with the server's next heartbeat.
func (s *soak) drawPublicationDelay() time.Duration {
	return time.Duration(s.random.Int64N(int64(standin.HeartbeatInterval))).Round(time.Millisecond)
}

// configure publishes the next configuration, or withdraws a zone for a time; its servers are cold when they are taken back.
func (s *soak) configure(_ *host, _ *standin.Server, duration time.Duration) string {
	if s.random.IntN(2) == 0 {
		s.platform.Configure(s.random.IntN(4))
		return "configured"
	}
	zone := fmt.Sprintf("zone-%d", s.random.IntN(2))
	delay := s.drawPublicationDelay()
	s.platform.Withdraw(zone)
	s.repairAfter(duration, func() { s.platform.TakeBack(zone, delay) })
	return fmt.Sprintf("%s withdrawn and then cold, published %v late,", zone, delay)
}
