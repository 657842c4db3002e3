// Command redwingpick-standin runs stand-ins for the platform and the backend servers of a catalogue.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/internal/emulator"
	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// options is the command line.
type options struct {
	catalogue string
	platform  string
	runs      string
	only      []string
	coldFor   time.Duration
	reportLag time.Duration
	calls     float64
}

func main() {
	var o options
	command := &cobra.Command{
		Use:          "redwingpick-standin --catalogue DIR",
		Short:        "Run stand-ins for the platform and the backend servers of a catalogue",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(o) },
	}
	flags := command.Flags()
	flags.StringVar(&o.catalogue, "catalogue", "", "folder of catalogue shards")
	flags.StringVar(&o.platform, "platform", "", "address of the configuration service; empty for none")
	flags.StringVar(&o.runs, "runs", "", "address that reports what ran; empty for none")
	flags.StringSliceVar(&o.only, "only", nil, "ids of the backend servers to run; all if not given")
	flags.DurationVar(&o.coldFor, "cold-for", 3*time.Second, "time for which an engine that starts is cold")
	flags.DurationVar(&o.reportLag, "report-lag", 0, "lag of the engines' reports")
	flags.Float64Var(&o.calls, "platform-calls", 2000, "calls a second that the configuration service allows")
	_ = command.MarkFlagRequired("catalogue")
	if err := command.Execute(); err != nil {
		os.Exit(2)
	}
}

func run(o options) error {
	files, err := filepath.Glob(filepath.Join(o.catalogue, "*.yaml"))
	if err != nil {
		return err
	}
	platform := &emulator.Platform{CallsPerSecond: o.calls}
	handler := platform.Handler()
	var servers []cataloguer.BackendServer
	store := &emulator.Store{Model: modeler.Store{LoadTime: 250 * time.Millisecond, MaxInFlight: 8}}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		shard, err := cataloguer.Parse(f, data)
		if err != nil {
			return err
		}
		servers = append(servers, shard.BackendServers...)
		if shard.WeightStore != nil {
			store.Model.LoadTime = shard.WeightStore.LoadTime
			store.Model.MaxInFlight = shard.WeightStore.MaxInFlight
			store.Model.Rate = shard.WeightStore.LoadsPerSecond
		}
		platform.Put(strings.TrimSuffix(filepath.Base(f), ".yaml"), data)
	}
	if err := serve(o.platform, handler); err != nil {
		return err
	}
	runs := &emulator.Runs{}
	if err := serve(o.runs, runs.Handler()); err != nil {
		return err
	}
	if err := serveBackends(o, servers, store, runs); err != nil {
		return err
	}
	fmt.Println("ready")
	signals := make(chan os.Signal, 1)
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

func serveBackends(o options, servers []cataloguer.BackendServer, store *emulator.Store, runs *emulator.Runs) error {
	for _, b := range servers {
		if !wanted(o.only, b.ID) {
			continue
		}
		if err := serve(b.Address, backendHandler(o, b, store, runs)); err != nil {
			return err
		}
	}
	return nil
}

func backendHandler(o options, b cataloguer.BackendServer, store *emulator.Store, runs *emulator.Runs) http.Handler {
	if b.Kind == cataloguer.KindService {
		return (&emulator.Service{ID: b.ID, Runs: runs}).Handler()
	}
	spec := modeler.DefaultSpec()
	spec.MaxRunning = b.MaxRunning
	spec.AdapterSlots = b.AdapterSlots
	spec.ColdRunning = b.ColdRunning
	spec.ChecksFencing = b.ChecksFencing
	spec.ColdFor = o.coldFor
	spec.ReportLag = o.reportLag
	return (&emulator.Engine{ID: b.ID, Spec: spec, Store: store, Runs: runs}).Handler()
}

func wanted(only []string, id string) bool {
	if len(only) == 0 {
		return true
	}
	for _, o := range only {
		if o == id {
			return true
		}
	}
	return false
}

func serve(address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(socket, handler) }()
	return nil
}
