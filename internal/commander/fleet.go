package commander

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/caller"
)

func newStatus(o *options) *cobra.Command {
	var addresses []string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show revision, hosts, rights, backend servers and drains of one or more hosts",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return o.status(addresses) },
	}
	operatorFlag(command, &addresses)
	return command
}

func operatorFlag(command *cobra.Command, addresses *[]string) {
	command.Flags().StringSliceVar(addresses, "operator", nil, "operator addresses of the hosts")
	_ = command.MarkFlagRequired("operator")
}

func readStatus(addresses []string) ([]reducer.Status, error) {
	statuses := make([]reducer.Status, 0, len(addresses))
	for _, a := range addresses {
		var s reducer.Status
		if err := getJSON(a, "/v1/status", &s); err != nil {
			return statuses, err
		}
		statuses = append(statuses, s)
	}
	return statuses, nil
}

func (o *options) status(addresses []string) error {
	statuses, err := readStatus(addresses)
	if err != nil {
		return err
	}
	return o.print(statuses, func() {
		for _, s := range statuses {
			o.printStatus(s)
		}
	})
}

func (o *options) printStatus(s reducer.Status) {
	o.printf("%s in %s (%s)\n", s.Host, s.FailureDomain, s.Region)
	o.printf("  ready %v  draining %v  isolated %v  requests %d\n", s.Ready, s.Draining, s.Isolated, s.Requests)
	o.printf("  revision %d (seen %d, confirmed %d ms ago)  adapters %d\n", s.Revision, s.SeenRevision, s.ConfirmedMs, s.Adapters)
	for _, r := range s.Rights {
		o.printf("  holds %s\n", r)
	}
	for _, b := range s.BackendServers {
		o.printf("  %-20s limit %3d  running %3d  queued %3d  waiting for load %3d  adapters %3d\n", b.ID, b.Limit, b.Running, b.Queued, b.Waiting, b.Residents)
	}
}

func newAccounts(o *options) *cobra.Command {
	var addresses []string
	command := &cobra.Command{
		Use:   "accounts",
		Short: "Show rate, burst and tokens of the client accounts as the hosts see them",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return o.accounts(addresses) },
	}
	operatorFlag(command, &addresses)
	return command
}

// HostAccount is one client account as one host sees it.
type HostAccount struct {
	Host string `json:"host"`
	reducer.AccountStatus
}

func (o *options) accounts(addresses []string) error {
	statuses, err := readStatus(addresses)
	if err != nil {
		return err
	}
	var rows []HostAccount
	for _, s := range statuses {
		for _, a := range s.Accounts {
			rows = append(rows, HostAccount{Host: s.Host, AccountStatus: a})
		}
	}
	return o.print(rows, func() {
		o.printf("%-20s %-16s %8s %8s %8s %8s %8s %8s %s\n", "account", "host", "rate/s", "burst", "spent", "refused", "held", "waiting", "keeper's level")
		for _, r := range rows {
			level := "-"
			if r.Keeper {
				level = strconv.Itoa(int(r.Level))
			}
			o.printf("%-20s %-16s %8.0f %8.0f %8.0f %8d %8.0f %8d %s\n", r.ID, r.Host, r.Rate, r.Burst, r.Spent, r.Refused, r.Held, r.Waiting, level)
		}
	})
}

func newLocate(o *options) *cobra.Command {
	var addresses []string
	var model, service string
	command := &cobra.Command{
		Use:   "locate",
		Short: "Ask a host which hosts to use for a model or a service",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return o.locate(addresses, model, service)
		},
	}
	command.Flags().StringSliceVar(&addresses, "host", nil, "addresses of hosts")
	command.Flags().StringVar(&model, "model", "", "adapter")
	command.Flags().StringVar(&service, "service", "", "plain service")
	_ = command.MarkFlagRequired("host")
	return command
}

func query(model, service string) url.Values {
	values := url.Values{}
	if model != "" {
		values.Set("model", model)
	}
	if service != "" {
		values.Set("service", service)
	}
	return values
}

func (o *options) locate(addresses []string, model, service string) error {
	client := &caller.Client{Addresses: addresses, HTTP: &http.Client{Timeout: readTimeout}}
	location, err := client.Locate(context.Background(), query(model, service))
	if err != nil {
		return merry.Wrap(ErrHost, merry.WithCause(err))
	}
	return o.print(location, func() {
		for i, h := range location.Hosts {
			o.printf("%-20s %s\n", h, location.Addresses[i])
		}
		o.printf("valid for %v\n", time.Duration(location.ValidForMs)*time.Millisecond)
		if location.Permit != "" {
			o.printf("permit %s\n", location.Permit)
		}
	})
}

func newCatalogue(o *options) *cobra.Command {
	var platform string
	catalogue := &cobra.Command{Use: "catalogue", Short: "Read the published catalogue"}
	get := &cobra.Command{
		Use:   "get [SHARD]",
		Short: "Print the revision of each shard, or one shard",
		Args:  cobra.MaximumNArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return o.catalogueGet(platform, args) },
	}
	get.Flags().StringVar(&platform, "platform", "", "address of the configuration service")
	_ = get.MarkFlagRequired("platform")
	catalogue.AddCommand(get)
	return catalogue
}

func newEvents(o *options) *cobra.Command {
	events := &cobra.Command{
		Use:   "events",
		Short: "List the numbered log events",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return o.print(recorder.Entries(), func() {
				for _, e := range recorder.Entries() {
					o.printf("%4d  %-5s %s\n", e.Number, e.Level, e.Text)
				}
			})
		},
	}
	events.AddCommand(&cobra.Command{
		Use:   "explain NUMBER",
		Short: "Explain one log event",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return o.explain(args[0]) },
	})
	return events
}

func (o *options) explain(text string) error {
	number, err := strconv.Atoi(text)
	if err != nil {
		return merry.Wrap(ErrUsage, merry.WithMessage("an event has a number: "+text))
	}
	entry, ok := recorder.Find(number)
	if !ok {
		return merry.Wrap(ErrUsage, merry.WithMessage("no event "+text))
	}
	return o.print(entry, func() {
		o.printf("%d %s (%s)\n%s\nWhat to do: %s\n", entry.Number, entry.Text, entry.Level, entry.Meaning, entry.Action)
	})
}
