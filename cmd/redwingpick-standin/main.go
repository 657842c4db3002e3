// Command redwingpick-standin simulates the users' platform and its callers on loopback addresses and writes the settings of hosts for it.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/platform/standin"
)

// portsPerHost is the number of listen addresses of one host.
const portsPerHost = 5

func main() {
	root := &cobra.Command{
		Use: "redwingpick-standin", Short: "Simulate the users' platform and its callers", SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newPlayCommand(), newAskCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "redwingpick-standin:", err)
		os.Exit(2)
	}
}

func newPlayCommand() *cobra.Command {
	var dir string
	var hosts, engines, unaryServers, firstPort int
	command := &cobra.Command{
		Use:   "play --dir DIR",
		Short: "Run the configuration service, the engines and the unary service, and write the settings of hosts for them",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return play(dir, hosts, engines, unaryServers, firstPort) },
	}
	command.Flags().StringVar(&dir, "dir", "", "folder for the hosts' settings files")
	command.Flags().IntVar(&hosts, "hosts", 3, "number of hosts")
	command.Flags().IntVar(&engines, "engines", 3, "number of engines")
	command.Flags().IntVar(&unaryServers, "desks", 2, "number of servers of the unary service, which runs no model")
	command.Flags().IntVar(&firstPort, "first-port", 21000, "lowest port of the hosts")
	_ = command.MarkFlagRequired("dir")
	return command
}

func newAskCommand() *cobra.Command {
	var call standin.Call
	command := &cobra.Command{
		Use:   "ask ADDRESS",
		Short: "Send one request to a host; print the status and the number of events",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			result := call.Send(http.DefaultClient, args[0])
			fmt.Println(result.Status, strings.Count(result.Body, "id: "))
			return result.Err
		},
	}
	command.Flags().StringVar(&call.ID, "id", "", "id of the request")
	command.Flags().StringVar(&call.Route, "route", "safe", "first part of the path")
	command.Flags().StringVar(&call.Key, "key", "", "API key to send")
	command.Flags().StringVar(&call.Model, "model", "", "model and adapter, as MODEL/ADAPTER; empty for the unary service")
	command.Flags().StringVar(&call.Tokens, "tokens", "200,10", "prompt tokens and largest number of output tokens, as PROMPT,OUTPUT")
	return command
}

func play(dir string, hosts, engines, unaryServers, firstPort int) error {
	platform, err := standin.Start(engines, unaryServers)
	if err != nil {
		return err
	}
	for i := range hosts {
		file := filepath.Join(dir, fmt.Sprintf("host-%d.yaml", i))
		if err := os.WriteFile(file, []byte(hostSettings(i, hosts, firstPort, platform.ConfigServiceAddress)), 0o600); err != nil {
			return err
		}
	}
	fmt.Printf("the store is at %s; keys are %s and %s\n", platform.ConfigServiceAddress, standin.KeyLarge, standin.KeySmall)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	for _, s := range platform.Servers {
		fmt.Printf("%s ran %d requests, saw %d keys, was ordered to load too much %d times\n",
			s.ID, len(s.Stats().RunCounts), s.Stats().RequestsWithKey, s.Stats().LoadsOverCapacity)
	}
	return nil
}

func hostSettings(host, hosts, firstPort int, configService string) string {
	address := func(host, offset int) string {
		return fmt.Sprintf("%q", fmt.Sprintf("127.0.0.1:%d", firstPort+portsPerHost*host+offset))
	}
	var seeds []string
	for i := range min(hosts, 3) {
		seeds = append(seeds, address(i, 4))
	}
	return fmt.Sprintf(`host_id: host-%d
failure_domain: zone-%d
region: region
address: %s
readiness_address: %s
directory_address: %s
operator_address: %s
peer_address: %s
platform: %q
seeds: [%s]
bounds:
  config_ms: 2000
  drain_ms: 2000
  contact_ms: 3000
  grace_seconds: 6
  order_lease_ms: 1000
  retry_ratio: 0.2
  retry_slack: 50
  retry_window_seconds: 10
  directory_seconds: 5
  quota_window_seconds: 8
  quota_overshoot: 0.25
  quota_slack: 2000
  load_window_seconds: 5
`, host, host%2, address(host, 0), address(host, 1), address(host, 2), address(host, 3), address(host, 4), configService,
		strings.Join(seeds, ", "))
}
