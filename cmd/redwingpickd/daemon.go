package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/listener"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/meter"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/tracer"
	"github.com/redwingpick/redwingpick/internal/watcher"
	"github.com/redwingpick/redwingpick/pkg/configurer"
	"github.com/redwingpick/redwingpick/platform"
)

const (
	// gcPercent is the GOGC value: the heap growth, in percent of the live heap, that starts a garbage collection.
	gcPercent = 200
	// memoryLimitPercent is the Go memory limit in percent of the memory_mb of the settings.
	memoryLimitPercent = 70
	// shutdownTimeout bounds the shutdown of the caller listener, in which the last responses are sent after the drain.
	shutdownTimeout = 700 * time.Millisecond
	// maxProcessDescriptors is taken for the number of descriptors of a process without a limit.
	maxProcessDescriptors = 1 << 20
	// settingsPollInterval is the interval between two polls of the settings file, which may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
)

var errDrainInterrupted = errors.New("stopped before the drain completed, by SIGINT or at the end of bounds.grace_seconds")

// policy is the selection policy for backend servers that the daemon uses.
type policy = selector.LeastDelay

// daemon holds the components of one host.
type daemon struct {
	file      string
	settings  configurer.Settings
	recorder  *recorder.Recorder
	control   *executor.Control[policy, platform.Codec, *listener.Sink]
	callers   *listener.Callers[policy, platform.Codec, platform.Codec]
	peers     *listener.Peers[policy, platform.Codec]
	operators *listener.Operators[policy, platform.Codec]
	guard     *listener.Guard
}

func newDaemon(file string, settings configurer.Settings) *daemon {
	incarnation := reducer.NewIncarnation(settings.HostID, time.Now())
	rec := &recorder.Recorder{
		Out: os.Stdout, Host: settings.HostID, Level: log.ParseLevel(settings.LogLevel), BytesPerSecond: settings.LogBytesPerSecond,
	}
	startedAt := clocker.Now()
	self := reducer.Self{
		HostID: settings.HostID, Incarnation: incarnation, Address: settings.Address, PeerAddress: settings.PeerAddress,
		FailureDomain: settings.FailureDomain, Region: settings.Region, StartedAt: startedAt, StartedUnixMs: time.Now().UnixMilli(),
		Seeds: settings.Seeds, CapacityMillicores: settings.CapacityMillicores(),
	}
	control := &executor.Control[policy, platform.Codec, *listener.Sink]{
		State: reducer.NewState(self, reducerLimits(settings), incarnation),
		Worker: &executor.Worker[platform.Codec, *listener.Sink]{
			Messenger: &messenger.Client[platform.Codec]{
				HostID: settings.HostID, Incarnation: incarnation,
				Datagrams: &messenger.Datagrams{HostID: settings.HostID, Incarnation: incarnation, StartedAt: startedAt},
			},
			Watcher:  &watcher.Watcher[platform.Codec]{Address: settings.Platform, Recorder: rec},
			Backends: &dispatcher.Client[platform.Codec, *listener.Sink]{},
		},
		Recorder:    rec,
		Waiters:     &executor.Waiters{},
		Latencies:   &meter.Latencies{},
		MailboxSize: settings.MailboxSize,
	}
	guard := &listener.Guard{
		Limits: budgeter.Limits{
			Bytes:       int64(settings.CallerMemoryMB) << 20,
			Connections: budgeter.DivideConnections(settings.ConnectionDescriptors(processDescriptors())),
		},
		Published: control.CallerLimits, Recorder: rec,
	}
	return &daemon{
		file:      file,
		settings:  settings,
		recorder:  rec,
		control:   control,
		callers:   &listener.Callers[policy, platform.Codec, platform.Codec]{Address: settings.Address, Control: control, Guard: guard},
		peers:     &listener.Peers[policy, platform.Codec]{HostID: settings.HostID, Incarnation: incarnation, Control: control},
		operators: &listener.Operators[policy, platform.Codec]{Control: control, Guard: guard},
		guard:     guard,
	}
}

func reducerLimits(s configurer.Settings) reducer.Limits {
	b := s.Bounds
	return reducer.Limits{
		ConfigDeadline: configurer.Milliseconds(b.ConfigMs), DrainDeadline: configurer.Milliseconds(b.DrainMs),
		HostTimeout: configurer.Milliseconds(b.ContactMs), GracePeriod: configurer.Seconds(b.GraceSeconds),
		OrderLeaseDuration: configurer.Milliseconds(b.OrderLeaseMs), RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
		QuotaWindow: configurer.Seconds(b.QuotaWindowSeconds), QuotaOvershoot: b.QuotaOvershoot, QuotaSlack: b.QuotaSlack,
		LoadWindow:   configurer.Seconds(b.LoadWindowSeconds),
		DirectoryTTL: configurer.Seconds(b.DirectorySeconds), Quarantine: configurer.Seconds(s.QuarantineSeconds),
		Adaptive: reducer.Adaptive{
			Pace: s.Adapts(configurer.AdaptivePace), Places: s.Adapts(configurer.AdaptivePlaces),
			Admission: s.Adapts(configurer.AdaptiveAdmission), Start: s.Adapts(configurer.AdaptiveStart),
		},
	}
}

func (d *daemon) run() error {
	signals := make(chan os.Signal, 4)
	// The signal handler of go-zero's library ends the process some seconds after a signal, which would cut requests.
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	debug.SetGCPercent(gcPercent)
	if d.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(d.settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	dispatcher.ConfigureDefaultClient()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopTracing, err := tracer.Start(ctx, d.tracerSettings())
	if err != nil {
		return err
	}
	go d.recorder.Run(ctx)
	defer d.recorder.Close()
	d.control.SetUp()
	stopServing, err := d.serve()
	if err != nil {
		d.recorder.Record(recorder.EventListenFailed, reducer.Field{Name: "error", Value: err.Error()})
		return err
	}
	go d.control.Run(ctx)
	go d.control.Worker.Messenger.Datagrams.Run(ctx)
	d.recorder.Record(recorder.EventStarted, reducer.Field{Name: "address", Value: d.settings.Address})
	d.awaitStop(ctx, signals)
	err = d.drain(ctx, signals)
	stopServing()
	d.recorder.Record(recorder.EventStopped, reducer.Field{Name: "cut_requests", Value: fmt.Sprint(d.callers.Running())})
	_ = stopTracing(ctx)
	return err
}

func (d *daemon) tracerSettings() tracer.Settings {
	settings := tracer.Settings{Host: d.settings.HostID, Collector: d.settings.TraceCollector}
	if d.settings.TraceLines {
		settings.Lines = os.Stdout
	}
	return settings
}

// awaitStop waits for a signal to stop; until then it reloads the settings on each SIGHUP and when their file has changed.
func (d *daemon) awaitStop(ctx context.Context, signals <-chan os.Signal) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastModTime := d.settingsModTime()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-poll.C:
			if modTime := d.settingsModTime(); modTime.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = d.settingsModTime()
		d.reload(ctx)
	}
}

func (d *daemon) settingsModTime() time.Time {
	info, err := os.Stat(d.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. A running host applies changed bounds, seeds, and the level and rate of the log; other changes need a
// restart.
func (d *daemon) reload(ctx context.Context) {
	settings, err := configurer.Read(d.file)
	if err != nil {
		d.recorder.Record(recorder.EventSettingsRejected, reducer.Field{Name: "error", Value: err.Error()})
		return
	}
	d.recorder.Record(recorder.EventSettingsReloaded,
		reducer.Field{Name: "changed", Value: fmt.Sprint(!reflect.DeepEqual(settings, d.settings))})
	d.recorder.Adjust(log.ParseLevel(settings.LogLevel), settings.LogBytesPerSecond)
	d.control.Report(ctx, reducer.SettingsRead{Limits: reducerLimits(settings), Seeds: settings.Seeds})
	d.settings = settings
}

// drain starts to drain the host and waits until the requests in progress have ended, so that none is cut. A SIGINT or the end of the grace
// period stops the wait early with errDrainInterrupted.
func (d *daemon) drain(ctx context.Context, signals <-chan os.Signal) error {
	d.control.Report(ctx, reducer.DrainRequested{})
	graceTimer := time.NewTimer(configurer.Seconds(d.settings.Bounds.GraceSeconds))
	defer graceTimer.Stop()
	for {
		select {
		case <-d.control.Drained():
			return nil
		case s := <-signals:
			if s == syscall.SIGINT {
				return errDrainInterrupted
			}
		case <-graceTimer.C:
			return errDrainInterrupted
		}
	}
}

// serve starts the listeners and returns a function that shuts down the one for callers.
func (d *daemon) serve() (stop func(), err error) {
	servers := []struct {
		class   budgeter.Class
		address string
		handler http.Handler
	}{
		{budgeter.ClassPeers, d.settings.PeerListenAddress, d.peers.Handler()},
		{budgeter.ClassOperators, d.settings.OperatorAddress, d.operators.Handler()},
		{budgeter.ClassDirectory, d.settings.DirectoryAddress, d.callers.Directory()},
		{budgeter.ClassReadiness, d.settings.ReadinessAddress, d.callers.Readiness()},
	}
	if err := d.control.Worker.Messenger.Datagrams.Listen(d.settings.PeerListenAddress); err != nil {
		return nil, err
	}
	d.recorder.CaptureLibraryLog()
	for _, s := range servers {
		socket, err := d.guard.Listen(s.class, s.address)
		if err != nil {
			return nil, err
		}
		server := d.guard.OtherServer(s.class, s.handler)
		go func() { _ = server.Serve(socket) }()
	}
	if err := d.callers.Start(); err != nil {
		return nil, err
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = d.callers.Shutdown(ctx)
	}, nil
}

// processDescriptors returns the number of file descriptors that the process may have open.
func processDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxProcessDescriptors {
		return maxProcessDescriptors
	}
	return int(limit.Cur)
}
