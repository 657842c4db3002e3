// Command redwingpickd runs the daemon of one host.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/pkg/configurer"
)

const (
	exitUsage  = 2
	exitFailed = 1
)

func main() {
	var file string
	command := &cobra.Command{
		Use:           "redwingpickd --config FILE",
		Short:         "Serve requests for LoRA adapters on one entry host",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return start(file) },
	}
	command.Flags().StringVar(&file, "config", "", "settings file of the host")
	_ = command.MarkFlagRequired("config")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, errDrainInterrupted) {
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
	return newDaemon(file, settings).run()
}
