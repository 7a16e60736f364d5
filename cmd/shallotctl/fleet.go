package main

import (
	"fmt"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"shallotglade/pkg/admin"
)

func newStatus(o *options) *cobra.Command {
	var askedOnly bool
	c := &cobra.Command{
		Use: "status SERVICE", Short: "Show what each home sees of a service's upstreams, and why", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			statuses, err := client.Status(cmd.Context(), args[0], !askedOnly)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), statuses, func() [][]string { return statusRows(statuses) })
		},
	}
	c.Flags().BoolVar(&askedOnly, "one", false, "ask only the daemon that answers")
	return c
}

func statusRows(statuses []admin.DaemonStatus) [][]string {
	rows := [][]string{{"DAEMON", "VERSION", "FLOOR", "USABLE", "UPSTREAM", "STANDING", "CONDITION", "REASON", "SCORE", "IN FLIGHT"}}
	for _, d := range statuses {
		if d.Status == nil {
			rows = append(rows, []string{d.Daemon, "-", "-", "-", "-", "-", "-", d.Error, "-", "-"})
			continue
		}
		for _, u := range d.Status.Upstreams {
			rows = append(rows, []string{
				d.Daemon, fmt.Sprint(d.Status.Version), fmt.Sprint(d.Status.Floor), fmt.Sprint(d.Status.Usable),
				u.ID, u.Standing, u.Condition, u.Reason, fmt.Sprintf("%.2f", u.Score), fmt.Sprintf("%d/%d", u.InFlight, u.Slots),
			})
		}
	}
	return rows
}

func newDaemons(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "daemons", Short: "List the daemons that the asked one knows", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			daemons, err := client.Daemons(cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), daemons, func() [][]string {
				rows := [][]string{{"DAEMON", "DOMAIN", "ADDRESS", "STATE"}}
				for _, d := range daemons {
					rows = append(rows, []string{d.ID, d.Domain, d.Address, d.State})
				}
				return rows
			})
		},
	}
}

func newDrain(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "drain", Short: "Make the daemon at the first --admin address leave without loss", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(o.adminAddresses) > 1 {
				return errors.New("drain takes exactly one --admin address: the daemon that is to leave")
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			return client.Drain(cmd.Context())
		},
	}
}

func newAddresses(o *options) *cobra.Command {
	var daemonAddress, domain, failed string
	c := &cobra.Command{
		Use: "addresses SERVICE --from IP:PORT", Short: "Ask which addresses a caller should use", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			q := url.Values{"service": {args[0]}, "domain": {domain}, "failed": {failed}}
			answer, err := admin.QueryAddresses(cmd.Context(), daemonAddress, q)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), answer, func() [][]string {
				rows := [][]string{{"ADDRESS"}}
				for _, a := range answer.Addresses {
					rows = append(rows, []string{a})
				}
				return rows
			})
		},
	}
	c.Flags().StringVar(&daemonAddress, "from", "", "callers' address of any daemon")
	c.Flags().StringVar(&domain, "domain", "", "the caller's failure domain")
	c.Flags().StringVar(&failed, "failed", "", "addresses that failed, comma-separated")
	_ = c.MarkFlagRequired("from")
	return c
}
