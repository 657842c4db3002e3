// Command redwingpick-capacity measures the slopes of the capacity page and prints it as tables.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/redwingpick/redwingpick/internal/estimator"
)

var (
	shares        = []float64{0.1, 0.25, 0.5, 1}
	adapterCounts = []int{20_000, 60_000, 180_000}
	payloadSizes  = []int{16, 256, 1024}
)

// A region is cut off for an hour in a fleet of a tenth of the target's size.
const (
	cutShare = 0.1
	cutFor   = time.Hour
)

func main() {
	var plots string
	command := &cobra.Command{
		Use:          "redwingpick-capacity",
		Short:        "Measure the slopes of the capacity page",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(plots) },
	}
	command.Flags().StringVar(&plots, "plots", "", "folder to write plots to")
	if err := command.Execute(); err != nil {
		os.Exit(2)
	}
}

func run(plots string) error {
	resident := estimator.Resident()
	lines, err := adapterLines()
	if err != nil {
		return err
	}
	fmt.Printf("resident size of an empty process: %.1f MB\n\n", resident/1e6)
	frames, err := frameLine()
	if err != nil {
		return err
	}
	lines = append(lines, frames)
	fleets := make([]estimator.Fleet, 0, len(shares))
	for _, s := range shares {
		fleets = append(fleets, estimator.MeasureFleet(estimator.Scaled(s), 1))
	}
	lines = append(lines, fleetLines(fleets)...)
	printLines(lines)
	printFleets(fleets, frames)
	printRecovery(fleets)
	printCut(estimator.MeasureCut(estimator.Scaled(cutShare), 1, cutFor))
	if plots == "" {
		return nil
	}
	return drawAll(plots, lines)
}

func adapterLines() ([]estimator.Line, error) {
	var heap, updates, request []estimator.Point
	for _, n := range adapterCounts {
		heap = append(heap, estimator.ConfigHeap(n))
		request = append(request, estimator.RequestCost(n))
		bytes, err := estimator.UpdateBytes(n)
		if err != nil {
			return nil, err
		}
		updates = append(updates, bytes)
	}
	return []estimator.Line{
		estimator.Fit("catalogue in memory", "adapters", "bytes of live heap", heap),
		estimator.Fit("whole catalogue from a peer", "adapters", "bytes", updates),
		estimator.Fit("one request in Reduce", "adapters", "ns", request),
	}, nil
}

func frameLine() (estimator.Line, error) {
	var points []estimator.Point
	for _, n := range payloadSizes {
		p, err := estimator.FrameBytes(n)
		if err != nil {
			return estimator.Line{}, err
		}
		points = append(points, p)
	}
	return estimator.Fit("one envelope on the wire, both ways", "payload bytes", "bytes", points), nil
}

func fleetLines(fleets []estimator.Fleet) []estimator.Line {
	series := func(cost func(estimator.Fleet) float64) []estimator.Point {
		points := make([]estimator.Point, 0, len(fleets))
		for _, f := range fleets {
			points = append(points, estimator.Point{Size: float64(f.Size.Hosts), Cost: cost(f)})
		}
		return points
	}
	return []estimator.Line{
		estimator.Fit("control messages a host", "hosts", "messages a second", series(func(f estimator.Fleet) float64 { return f.MessagesAHost })),
		estimator.Fit("envelopes a host", "hosts", "envelopes a second", series(func(f estimator.Fleet) float64 { return f.EnvelopesAHost })),
		estimator.Fit("envelope payload a host", "hosts", "bytes a second", series(func(f estimator.Fleet) float64 { return f.BytesAHost })),
		estimator.Fit("time in Reduce a host", "hosts", "microseconds a second", series(func(f estimator.Fleet) float64 {
			return float64(f.BusyAHost) / float64(time.Microsecond)
		})),
	}
}

func printLines(lines []estimator.Line) {
	fmt.Println("| slope | size | cost | base | slope | largest residual | measured |")
	fmt.Println("| --- | --- | --- | ---: | ---: | ---: | --- |")
	for _, l := range lines {
		fmt.Printf("| %s | %s | %s | %.1f | %.5g | %.0f%% |", l.Name, l.SizeUnit, l.CostUnit, l.Base, l.Slope, 100*l.Residual)
		for _, p := range l.Points {
			fmt.Printf(" %.0f: %.4g", p.Size, p.Cost)
		}
		fmt.Println(" |")
	}
	fmt.Println()
}

func printFleets(fleets []estimator.Fleet, frames estimator.Line) {
	fmt.Println("| hosts | backend servers | accounts | bytes/s a host on the wire | platform calls/s | all started after | peak platform calls/s " +
		"| change in force everywhere | owned right after a failure domain is lost | all owned again after | broken rules |")
	fmt.Println("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, f := range fleets {
		wire := f.EnvelopesAHost*frames.Base + f.BytesAHost*frames.Slope
		fmt.Printf("| %d | %d | %d | %.0f | %.1f | %v | %d | %v | %.0f%% | %v | %d |\n", f.Size.Hosts, f.Size.Backends, f.Size.Accounts, wire,
			f.PlatformCalls, f.StartedAfter, f.StartPeakCalls, f.ChangeEverywhere, 100*f.DomainOwnedBefore, f.DomainOwnedAfter, len(f.Violations))
	}
}

func printRecovery(fleets []estimator.Fleet) {
	fmt.Println("\n| hosts | one host restarted: ready after | its rights held after | 8 hosts of a failure domain lost: all owned after |")
	fmt.Println("| ---: | ---: | ---: | ---: |")
	for _, f := range fleets {
		fmt.Printf("| %d | %v | %v | %v |\n", f.Size.Hosts, f.RestartReadyAfter, f.RestartOwnedAfter, f.RackOwnedAfter)
	}
}

func printCut(c estimator.Cut) {
	fmt.Println("\n| hosts | a region cut off for | least share of backend servers owned | newest revision everywhere after the end | bytes of envelopes a host meanwhile | broken rules |")
	fmt.Println("| ---: | ---: | ---: | ---: | ---: | ---: |")
	fmt.Printf("| %d | %v | %.0f%% | %v | %.0f | %d |\n", c.Size.Hosts, c.For, 100*c.LeastOwned, c.HealedAfter, c.HealBytes/float64(c.Size.Hosts), len(c.Violations))
}

func drawAll(folder string, lines []estimator.Line) error {
	for i, l := range lines {
		if err := draw(filepath.Join(folder, fmt.Sprintf("slope_%d.svg", i+1)), l); err != nil {
			return err
		}
	}
	return nil
}

func draw(file string, line estimator.Line) error {
	p := plot.New()
	p.Title.Text = line.Name
	p.X.Label.Text = line.SizeUnit
	p.Y.Label.Text = line.CostUnit
	p.X.Min = 0
	p.Y.Min = 0
	var measured, fitted plotter.XYs
	for _, point := range line.Points {
		measured = append(measured, plotter.XY{X: point.Size, Y: point.Cost})
		fitted = append(fitted, plotter.XY{X: point.Size, Y: line.At(point.Size)})
	}
	if err := plotutil.AddScatters(p, "measured", measured); err != nil {
		return err
	}
	if err := plotutil.AddLines(p, "fitted", fitted); err != nil {
		return err
	}
	return p.Save(12*vg.Centimeter, 8*vg.Centimeter, file)
}
