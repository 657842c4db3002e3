package commander

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

func newStatusCommand(o *options) *cobra.Command {
	var addresses []string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show readiness, versions, peers and backend servers of one or more hosts",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return o.status(addresses) },
	}
	addOperatorFlag(command, &addresses)
	return command
}

func addOperatorFlag(command *cobra.Command, addresses *[]string) {
	command.Flags().StringSliceVar(addresses, "operator", nil, "operator addresses of the hosts")
	_ = command.MarkFlagRequired("operator")
}

// HostStatus is the status of a host with that of its clients.
type HostStatus struct {
	reducer.Status
	Clients budgeter.Status `json:"clients"`
}

func readStatuses(addresses []string) ([]HostStatus, error) {
	statuses := make([]HostStatus, 0, len(addresses))
	for _, a := range addresses {
		var s HostStatus
		if err := getJSON(a, "/v1/status", &s); err != nil {
			return statuses, err
		}
		statuses = append(statuses, s)
	}
	return statuses, nil
}

func (o *options) status(addresses []string) error {
	statuses, err := readStatuses(addresses)
	if err != nil {
		return err
	}
	return o.print(statuses, func() {
		for _, s := range statuses {
			o.printStatus(s)
		}
	})
}

func (o *options) printStatus(s HostStatus) {
	o.printf("%s: ready %v, leaving %v, %d requests in progress\n", s.Host, s.Ready, s.Draining, s.RequestsInProgress)
	o.printf("  catalogue version %d, era %d, revision %d, confirmed %d ms ago, withdrawn %v\n", s.CatalogueVersion, s.Era, s.Revision,
		s.ConfirmedAgeMs, s.WithdrawnDomains)
	if s.KeptItems > 0 {
		o.printf("  %d items of an earlier era are kept until they are written again\n", s.KeptItems)
	}
	o.printf("  clients hold %d of %d bytes, %d connections of callers of %d, %d requests dropped, %d connections closed, %d refused\n", s.Clients.HeldBytes,
		s.Clients.LimitBytes, s.Clients.Connections["callers"], s.Clients.Bounds["callers"], s.Clients.DroppedRequests, s.Clients.ClosedConnections,
		s.Clients.RefusedConnections)
	for _, q := range s.Quarantined {
		o.printf("  requests with %s are refused for %d ms more, %d crashes\n", q.Content, q.EndsInMs, q.Crashes)
	}
	for _, h := range s.Hosts {
		o.printf("  host %-24s alive %-5v ready %-5v heard %6d ms ago, orders %d backend servers\n", h.ID, h.Active, h.Ready, h.AgeMs, h.LeasesHeld)
	}
	for _, b := range s.Backends {
		o.printf("  backend server %-16s %-12s usable %-5v %-9s running %3d loss %.2f ordered by %s", b.ID, b.Service, b.Usable, b.State, b.Running, b.FailureRate,
			cmp.Or(b.Holder, "none"))
		if b.StateEndsInMs > 0 {
			o.printf(", %s for %d ms more", b.State, b.StateEndsInMs)
		}
		o.printf("%s\n", boundText(b.BoundStatus))
	}
}

// boundText describes the bound on the requests to a backend server over all hosts, after a comma; it is empty for a server without one.
func boundText(b reducer.BoundStatus) string {
	text := ""
	if b.LimitPerSecond > 0 {
		text = fmt.Sprintf(", names a limit of %g requests/s, known for %d ms", b.LimitPerSecond, b.LimitAgeMs)
	}
	if b.Sender {
		text += fmt.Sprintf(", this host may send %.3g requests/s", b.SendPerSecond)
	}
	if len(b.Senders) > 0 {
		text += ", senders " + strings.Join(b.Senders, ",")
	}
	return text
}

// HostAccount is the status of one client account on one host.
type HostAccount struct {
	Host string `json:"host"`
	reducer.AccountStatus
}

func newAccountsCommand(o *options) *cobra.Command {
	var addresses []string
	command := &cobra.Command{
		Use:   "accounts",
		Short: "Show the tokens that hosts hold for client accounts, and the requests that they refused",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return o.accounts(addresses) },
	}
	addOperatorFlag(command, &addresses)
	return command
}

func (o *options) accounts(addresses []string) error {
	statuses, err := readStatuses(addresses)
	if err != nil {
		return err
	}
	rows := []HostAccount{}
	for _, s := range statuses {
		for _, a := range s.Accounts {
			rows = append(rows, HostAccount{Host: s.Host, AccountStatus: a})
		}
	}
	return o.print(rows, func() {
		o.printf("%-20s %-24s %12s %8s\n", "account", "host", "held tokens", "refused")
		for _, r := range rows {
			o.printf("%-20s %-24s %12.0f %8d\n", r.Name, r.Host, r.Level, r.Refused)
		}
	})
}

func newMetricsCommand(o *options) *cobra.Command {
	var addresses []string
	command := &cobra.Command{
		Use:   "metrics",
		Short: "Show the counters of one or more hosts",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return o.metrics(addresses) },
	}
	addOperatorFlag(command, &addresses)
	return command
}

func (o *options) metrics(addresses []string) error {
	all := map[string]map[string]any{}
	for _, a := range addresses {
		var response struct {
			Redwingpick map[string]any `json:"redwingpick"`
		}
		if err := getJSON(a, "/debug/vars", &response); err != nil {
			return err
		}
		all[a] = response.Redwingpick
	}
	return o.print(all, func() {
		for _, a := range addresses {
			names := make([]string, 0, len(all[a]))
			for name := range all[a] {
				names = append(names, name)
			}
			slices.Sort(names)
			for _, name := range names {
				o.printf("%s %s %v\n", a, name, all[a][name])
			}
		}
	})
}

func newEventsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "events",
		Short: "List the numbered log events",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			entries := recorder.Entries()
			return o.print(entries, func() {
				for _, e := range entries {
					o.printf("%4d  %-5s  %-30s %s\n", e.Number, e.Level, e.Text, e.Meaning)
				}
			})
		},
	}
}
