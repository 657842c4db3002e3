package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"

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
	// garbagePercent is the garbage, as a share of the live heap, at which the collector runs.
	garbagePercent = 200
	// heapPercent is the part of the memory of the settings that the heap may take.
	heapPercent = 70
	// lastWords is the time left to the last answers after the drain.
	lastWords = 700 * time.Millisecond
	// lookAtSettings is the time between two looks at the settings file, which may change without a signal.
	lookAtSettings = 2 * time.Second
)

var errStopped = errors.New("stopped before the drain was done")

// policy chooses backend servers.
type policy = selector.Expected

// daemon is the parts of one host.
type daemon struct {
	file      string
	settings  configurer.Settings
	recorder  *recorder.Recorder
	control   *executor.Control[policy, platform.Codec, *listener.Sink]
	callers   *listener.Callers[policy, platform.Codec, platform.Codec]
	peers     *listener.Peers[policy, platform.Codec]
	operators *listener.Operators[policy, platform.Codec]
}

func newDaemon(file string, settings configurer.Settings) *daemon {
	incarnation := reducer.NewIncarnation(settings.HostID, time.Now())
	record := &recorder.Recorder{
		Out: os.Stdout, Host: settings.HostID, Level: log.ParseLevel(settings.LogLevel), BytesPerSecond: settings.LogBytesPerSecond,
	}
	self := reducer.Self{
		HostID: settings.HostID, Incarnation: incarnation, Address: settings.Address, PeerAddress: settings.PeerAddress,
		FailureDomain: settings.FailureDomain, Region: settings.Region, StartedAt: clocker.Now(), StartedUnixMs: time.Now().UnixMilli(),
		Seeds: settings.Seeds,
	}
	control := &executor.Control[policy, platform.Codec, *listener.Sink]{
		State: reducer.NewState(self, limits(settings.Bounds), incarnation),
		Worker: &executor.Worker[platform.Codec, *listener.Sink]{
			Messenger: &messenger.Client[platform.Codec]{HostID: settings.HostID, Incarnation: incarnation},
			Watcher:   &watcher.Watcher[platform.Codec]{Address: settings.Platform, Recorder: record},
			Backends:  &dispatcher.Client[platform.Codec, *listener.Sink]{},
		},
		Recorder:    record,
		Waiters:     &executor.Waiters{},
		Latencies:   &meter.Latencies{},
		MailboxSize: settings.MailboxSize,
	}
	return &daemon{
		file:      file,
		settings:  settings,
		recorder:  record,
		control:   control,
		callers:   &listener.Callers[policy, platform.Codec, platform.Codec]{Address: settings.Address, Control: control},
		peers:     &listener.Peers[policy, platform.Codec]{HostID: settings.HostID, Incarnation: incarnation, Control: control},
		operators: &listener.Operators[policy, platform.Codec]{Control: control},
	}
}

func limits(b configurer.Bounds) reducer.Limits {
	return reducer.Limits{
		ConfigDeadline: configurer.Milliseconds(b.ConfigMs), DrainDeadline: configurer.Milliseconds(b.DrainMs),
		HostTimeout: configurer.Milliseconds(b.ContactMs), GracePeriod: configurer.Seconds(b.GraceSeconds),
		OrderLeaseDuration: configurer.Milliseconds(b.OrderLeaseMs), RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
		QuotaWindow: configurer.Seconds(b.QuotaWindowSeconds), QuotaOvershoot: b.QuotaOvershoot, QuotaSlack: b.QuotaSlack,
		LoadWindow:   configurer.Seconds(b.LoadWindowSeconds),
		DirectoryTTL: configurer.Seconds(b.DirectorySeconds),
	}
}

func (d *daemon) run() error {
	signals := make(chan os.Signal, 4)
	// go-zero ends the process by itself some seconds after a signal, which would cut requests.
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	debug.SetGCPercent(garbagePercent)
	if d.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(d.settings.MemoryMB) << 20 * heapPercent / 100)
	}
	dispatcher.ConfigureDefaultClient()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopTracing, err := tracer.Start(ctx, d.tracing())
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
	d.recorder.Record(recorder.EventStarted, reducer.Field{Name: "address", Value: d.settings.Address})
	d.awaitStop(ctx, signals)
	err = d.drain(ctx, signals)
	stopServing()
	d.recorder.Record(recorder.EventStopped, reducer.Field{Name: "cut_requests", Value: fmt.Sprint(d.callers.Running())})
	_ = stopTracing(ctx)
	return err
}

func (d *daemon) tracing() tracer.Settings {
	settings := tracer.Settings{Host: d.settings.HostID, Collector: d.settings.TraceCollector}
	if d.settings.TraceLines {
		settings.Lines = os.Stdout
	}
	return settings
}

// awaitStop returns at a signal to stop; before, it reads the settings again at each SIGHUP and when their file has changed.
func (d *daemon) awaitStop(ctx context.Context, signals <-chan os.Signal) {
	look := time.NewTicker(lookAtSettings)
	defer look.Stop()
	changed := d.settingsTime()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-look.C:
			if now := d.settingsTime(); now.Equal(changed) {
				continue
			}
		}
		changed = d.settingsTime()
		d.reload(ctx)
	}
}

func (d *daemon) settingsTime() time.Time {
	info, err := os.Stat(d.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again; those that a running host can follow are the bounds, the seeds and the log's.
func (d *daemon) reload(ctx context.Context) {
	settings, err := configurer.Read(d.file)
	if err != nil {
		d.recorder.Record(recorder.EventSettingsBad, reducer.Field{Name: "error", Value: err.Error()})
		return
	}
	d.recorder.Record(recorder.EventReloaded, reducer.Field{Name: "changed", Value: fmt.Sprint(!reflect.DeepEqual(settings, d.settings))})
	d.recorder.Adjust(log.ParseLevel(settings.LogLevel), settings.LogBytesPerSecond)
	d.control.Report(ctx, reducer.SettingsRead{Limits: limits(settings.Bounds), Seeds: settings.Seeds})
	d.settings = settings
}

// drain leaves without cutting a request; a second signal or the bound of the settings ends it early.
func (d *daemon) drain(ctx context.Context, signals <-chan os.Signal) error {
	d.control.Report(ctx, reducer.DrainRequested{})
	bound := time.NewTimer(configurer.Seconds(d.settings.Bounds.GraceSeconds))
	defer bound.Stop()
	for {
		select {
		case <-d.control.Drained():
			return nil
		case s := <-signals:
			if s == syscall.SIGINT {
				return errStopped
			}
		case <-bound.C:
			return errStopped
		}
	}
}

// serve starts the listeners and returns the function that stops them.
func (d *daemon) serve() (stop func(), err error) {
	peerServer := &http.Server{Handler: d.peers.Handler(), Protocols: new(http.Protocols)}
	peerServer.Protocols.SetHTTP1(true)
	peerServer.Protocols.SetUnencryptedHTTP2(true)
	servers := map[string]*http.Server{
		d.settings.PeerListenAddress: peerServer,
		d.settings.OperatorAddress:   {Handler: d.operators.Handler()},
		d.settings.DirectoryAddress:  {Handler: d.callers.Directory()},
		d.settings.ReadinessAddress:  {Handler: d.callers.Readiness()},
	}
	for address, server := range servers {
		if err := listen(server, address); err != nil {
			return nil, err
		}
	}
	if err := free(d.settings.Address); err != nil {
		return nil, err
	}
	if err := d.callers.Start(); err != nil {
		return nil, err
	}
	// The library sets its log up with its server, so its messages are taken over after that.
	d.recorder.UseForLibrary()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), lastWords)
		defer cancel()
		_ = d.callers.Shutdown(ctx)
	}, nil
}

func listen(server *http.Server, address string) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = server.Serve(socket) }()
	return nil
}

// free reports an address that is in use before go-zero's server, which panics on it, takes it.
func free(address string) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return socket.Close()
}
