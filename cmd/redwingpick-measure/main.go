// Command redwingpick-measure compares the policies on the users' five measures, in virtual time.
package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/internal/exerciser"
	"github.com/redwingpick/redwingpick/internal/selector"
)

func main() {
	var seed uint64
	var file string
	command := &cobra.Command{
		Use:          "redwingpick-measure",
		Short:        "Compare the policies on the users' five measures",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(seed, file) },
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of all runs")
	command.Flags().StringVar(&file, "csv", "", "file to write the rows to")
	if err := command.Execute(); err != nil {
		os.Exit(2)
	}
}

func run(seed uint64, file string) error {
	var rows []exerciser.Row
	for _, d := range []exampler.Deployment{exampler.Sutokatha(), exampler.TsagaanTsuivan()} {
		rows = append(rows, deployment(d, seed)...)
	}
	print(rows)
	if file == "" {
		return nil
	}
	return writeCSV(file, rows)
}

// perSecond is the calls a second that a deployment's weight store can just keep up with.
func perSecond(d exampler.Deployment) float64 { return 4 * d.LoadsPerSecond }

func deployment(d exampler.Deployment, seed uint64) []exerciser.Row {
	calls := perSecond(d)
	var rows []exerciser.Row
	rows = append(rows, measures[selector.Adaptive](d, "this build", seed).Loads(calls, 3*time.Minute)...)
	rows = append(rows, measures[selector.Rendezvous](d, "plain rendezvous", seed).Loads(calls, 3*time.Minute)...)
	rows = append(rows, measures[selector.SharedRendezvous](d, "rendezvous, shared permits", seed).Loads(calls, 3*time.Minute)...)
	rows = append(rows, measures[selector.Random](d, "random placement", seed).Loads(calls, 3*time.Minute)...)
	rows = append(rows, measures[selector.Adaptive](d, "this build", seed).Fairness(calls, 2*time.Minute)...)
	rows = append(rows, measures[selector.FirstCome](d, "first come, first served", seed).Fairness(calls, 2*time.Minute)...)
	for _, leave := range []bool{false, true} {
		rows = append(rows, measures[selector.Adaptive](d, "this build", seed).Refusals(2*time.Minute, leave)...)
		rows = append(rows, measures[selector.Static](d, "static split", seed).Refusals(2*time.Minute, leave)...)
	}
	rows = append(rows, measures[selector.Adaptive](d, "this build", seed).Domain(calls)...)
	rows = append(rows, measures[selector.Rendezvous](d, "plain rendezvous", seed).Domain(calls)...)
	return rows
}

func measures[P selector.Policy](d exampler.Deployment, policy string, seed uint64) exerciser.Measures[P] {
	return exerciser.Measures[P]{Deployment: d, Policy: policy, Seed: seed}
}

func print(rows []exerciser.Row) {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "deployment\tmeasure\tpolicy\tunit\tvalue")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.2f\n", r.Deployment, r.Measure, r.Policy, r.Unit, r.Value)
	}
	_ = table.Flush()
}

func writeCSV(file string, rows []exerciser.Row) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	w := csv.NewWriter(out)
	_ = w.Write([]string{"deployment", "measure", "policy", "unit", "value", "seed"})
	for _, r := range rows {
		_ = w.Write([]string{r.Deployment, r.Measure, r.Policy, r.Unit, strconv.FormatFloat(r.Value, 'f', 3, 64), strconv.FormatUint(r.Seed, 10)})
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return err
	}
	return out.Close()
}
