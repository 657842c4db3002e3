package commander

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/internal/listener"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/pkg/configurer"
)

// CheckResult is the result of checking one file.
type CheckResult struct {
	File  string `json:"file"`
	Kind  string `json:"kind"`
	Fault string `json:"fault,omitempty"`
}

func newCheck(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and catalogue files without a fleet",
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(_ *cobra.Command, files []string) error { return o.check(files) },
	}
}

func (o *options) check(files []string) error {
	results := make([]CheckResult, 0, len(files))
	bad := 0
	seen := map[string]string{}
	for _, f := range files {
		result := checkFile(f, seen)
		if result.Fault != "" {
			bad++
		}
		results = append(results, result)
	}
	err := o.print(results, func() {
		for _, r := range results {
			if r.Fault != "" {
				o.printf("%s\n", r.Fault)
				continue
			}
			o.printf("%s: %s is good\n", r.File, r.Kind)
		}
	})
	if err != nil {
		return err
	}
	if bad > 0 {
		return merry.Wrap(ErrUsage, merry.WithMessagef("%d of %d files are bad", bad, len(files)))
	}
	return nil
}

// checkFile takes a file with a host_id for settings and any other for a catalogue shard.
func checkFile(file string, seen map[string]string) CheckResult {
	result := CheckResult{File: file, Kind: "catalogue shard"}
	data, err := os.ReadFile(file)
	if err != nil {
		result.Fault = fmt.Sprintf("%s:1: document: %v", file, err)
		return result
	}
	if isSettings(data) {
		result.Kind = "settings"
		if _, err := configurer.Parse(file, data); err != nil {
			result.Fault = err.Error()
		}
		return result
	}
	shard, err := cataloguer.Parse(file, data)
	if err != nil {
		result.Fault = err.Error()
		return result
	}
	result.Fault = doubledAdapter(file, shard, seen)
	return result
}

func isSettings(data []byte) bool {
	var keys map[string]yaml.Node
	if yaml.Unmarshal(data, &keys) != nil {
		return strings.Contains(string(data), "host_id:")
	}
	_, shard := keys["shard"]
	_, settings := keys["host_id"]
	_, address := keys["operator_address"]
	return !shard && (settings || address)
}

// doubledAdapter names an adapter that stands in two of the files.
func doubledAdapter(file string, shard cataloguer.Shard, seen map[string]string) string {
	for i, a := range shard.Adapters {
		if other, ok := seen[a.Name]; ok {
			return fmt.Sprintf("%s:1: adapters.%d.name: %s stands in %s too", file, i, a.Name, other)
		}
		seen[a.Name] = file
	}
	return ""
}

func newKey(o *options) *cobra.Command {
	key := &cobra.Command{Use: "key", Short: "Work with keys"}
	key.AddCommand(&cobra.Command{
		Use:   "digest KEY",
		Short: "Print the form of a key that the catalogue stores",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			digest := listener.Digest(args[0])
			return o.print(map[string]string{"digest": digest}, func() { o.printf("%s\n", digest) })
		},
	})
	return key
}

func newExample(o *options) *cobra.Command {
	var folder string
	var firstPort, adapters int
	command := &cobra.Command{
		Use:   "example DEPLOYMENT",
		Short: "Write the catalogue and the settings of an example deployment: sutokatha or tsagaan-tsuivan",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			deployment, ok := exampler.Find(args[0])
			if !ok {
				return merry.Wrap(ErrUsage, merry.WithMessage("no example "+args[0]))
			}
			if adapters > 0 {
				deployment.Adapters = adapters
			}
			return o.writeExample(deployment, folder, firstPort)
		},
	}
	command.Flags().StringVar(&folder, "dir", ".", "folder to write to")
	command.Flags().IntVar(&adapters, "adapters", 0, "number of adapters; 0 for the deployment's own")
	command.Flags().IntVar(&firstPort, "first-port", 21000, "first of the loopback ports")
	return command
}

func (o *options) writeExample(deployment exampler.Deployment, folder string, firstPort int) error {
	for _, shard := range deployment.Shards(firstPort) {
		if err := writeYAML(filepath.Join(folder, "catalogue", shard.Name+".yaml"), shard); err != nil {
			return err
		}
	}
	for _, s := range deployment.Settings(firstPort) {
		if err := writeYAML(filepath.Join(folder, "hosts", s.HostID+".yaml"), s); err != nil {
			return err
		}
	}
	return o.print(map[string]string{"dir": folder}, func() { o.printf("wrote %s to %s\n", deployment.Name, folder) })
}

func writeYAML(file string, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return merry.Wrap(ErrUsage, merry.WithCause(err))
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return merry.Wrap(ErrUsage, merry.WithCause(err))
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return merry.Wrap(ErrUsage, merry.WithCause(err))
	}
	return nil
}
