// Command redwingpickd is the daemon of one entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/listener"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/tracer"
	"github.com/redwingpick/redwingpick/internal/watcher"
	"github.com/redwingpick/redwingpick/pkg/configurer"
)

const (
	exitUsage  = 2
	exitFailed = 1
	// garbagePercent is the garbage, as a share of the live heap, at which the collector runs; memory is scarcer than time.
	garbagePercent = 60
	// lastWords is the time left to the last answers after the drain.
	lastWords = 2 * time.Second
)

var errStopped = errors.New("stopped before the drain was done")

func main() {
	var file string
	command := &cobra.Command{
		Use:           "redwingpickd --config FILE",
		Short:         "Serve requests for LoRA adapters on one entry host",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return start(file)
		},
	}
	command.Flags().StringVar(&file, "config", "", "settings file of the host")
	_ = command.MarkFlagRequired("config")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, errStopped) {
			os.Exit(exitFailed)
		}
		os.Exit(exitUsage)
	}
}

func start(file string) error {
	settings, err := configurer.Read(file)
	if err != nil {
		return err
	}
	d := newDaemon(settings)
	return d.run()
}

// daemon is the parts of one host.
type daemon struct {
	settings  configurer.Settings
	recorder  *recorder.Recorder
	control   *executor.Control[selector.Adaptive]
	callers   *listener.Callers[selector.Adaptive]
	peers     *listener.Peers[selector.Adaptive]
	operators *listener.Operators[selector.Adaptive]
}

func newDaemon(settings configurer.Settings) *daemon {
	now := time.Now()
	incarnation := uint64(now.UnixNano())
	limits := reducer.DefaultLimits()
	limits.DrainFor = settings.DrainFor
	limits.RequestTimeout = settings.RequestTimeout
	self := reducer.Self{
		HostID: settings.HostID, Incarnation: incarnation, FailureDomain: settings.FailureDomain, StartedAt: now, Seeds: settings.Seeds,
	}
	record := &recorder.Recorder{Out: os.Stderr, Host: settings.HostID, Level: log.ParseLevel(settings.LogLevel)}
	client := &messenger.Client{HostID: settings.HostID, Incarnation: incarnation}
	control := &executor.Control[selector.Adaptive]{
		State:       reducer.NewState(self, limits, incarnation),
		Worker:      &executor.Worker{Messenger: client, Watcher: &watcher.Watcher{Address: settings.Platform}},
		Recorder:    record,
		Replies:     &executor.Replies{},
		MailboxSize: settings.MailboxSize,
	}
	return &daemon{
		settings: settings,
		recorder: record,
		control:  control,
		callers: &listener.Callers[selector.Adaptive]{
			HostID: settings.HostID, Incarnation: incarnation, Address: settings.Address, Control: control, Messenger: client,
		},
		peers:     &listener.Peers[selector.Adaptive]{HostID: settings.HostID, Control: control, Messenger: client},
		operators: &listener.Operators[selector.Adaptive]{Control: control},
	}
}

func (d *daemon) run() error {
	signals := make(chan os.Signal, 2)
	// go-zero ends the process by itself some seconds after a signal, which would cut requests.
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	debug.SetGCPercent(garbagePercent)
	dispatcher.UseTransport()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopTracing, err := tracer.Start(ctx, d.tracing())
	if err != nil {
		return err
	}
	d.control.SetUp()
	stopServing, err := d.serve()
	if err != nil {
		d.recorder.Record(recorder.EventListenFailed, reducer.Field{Name: "error", Value: err.Error()})
		return err
	}
	go d.control.Run(ctx)
	d.recorder.Record(recorder.EventStarted, reducer.Field{Name: "address", Value: d.settings.Address})
	<-signals
	err = d.drain(ctx, signals)
	stopServing()
	d.recorder.Record(recorder.EventStopped, reducer.Field{Name: "cut_requests", Value: fmt.Sprint(d.callers.Running())})
	_ = stopTracing(ctx)
	return err
}

func (d *daemon) tracing() tracer.Settings {
	settings := tracer.Settings{Host: d.settings.HostID, Collector: d.settings.TraceCollector}
	if d.settings.TraceLines {
		settings.Lines = os.Stderr
	}
	return settings
}

// drain leaves without cutting a request; a second signal or the bound of the settings ends it early.
func (d *daemon) drain(ctx context.Context, signals <-chan os.Signal) error {
	d.control.Report(ctx, reducer.DrainRequested{})
	bound := time.NewTimer(d.settings.DrainFor + lastWords)
	defer bound.Stop()
	select {
	case <-d.control.Drained():
		return nil
	case <-signals:
		return errStopped
	case <-bound.C:
		return errStopped
	}
}

// serve starts the three listeners and returns the function that stops them.
func (d *daemon) serve() (stop func(), err error) {
	callers, err := d.callers.Server()
	if err != nil {
		return nil, err
	}
	d.recorder.UseForLibrary()
	peerServer := &http.Server{Handler: d.peers.Handler(), Protocols: new(http.Protocols)}
	peerServer.Protocols.SetHTTP1(true)
	peerServer.Protocols.SetUnencryptedHTTP2(true)
	operatorServer := &http.Server{Handler: d.operators.Handler()}
	if err := listen(peerServer, d.settings.PeerAddress); err != nil {
		return nil, err
	}
	if err := listen(operatorServer, d.settings.OperatorAddress); err != nil {
		return nil, err
	}
	if err := free(d.settings.Address); err != nil {
		return nil, err
	}
	go callers.Start()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), lastWords)
		defer cancel()
		callers.Stop()
		_ = peerServer.Shutdown(ctx)
		_ = operatorServer.Shutdown(ctx)
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
