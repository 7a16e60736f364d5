package main

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"shallotglade/internal/standin"
)

// newDemoCommand returns the command that runs the demo against a running fleet.
func newDemoCommand(_ zerolog.Logger) *cobra.Command {
	var daemons, upstreams []string
	var key string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Send reads and orders to a running fleet, break things, and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := &standin.Demo{Key: key, Upstreams: map[string]map[string]string{}, Steps: &standin.Steps{Out: os.Stdout}}
			for _, text := range daemons {
				parts := strings.Split(text, ",")
				if len(parts) != 3 {
					return errors.Newf("--daemon: found %q, allowed: callers,admin,domain", text)
				}
				d.Daemons = append(d.Daemons, standin.DemoDaemon{CallerAddress: parts[0], AdminAddress: parts[1], Domain: parts[2]})
			}
			for _, text := range upstreams {
				parts := strings.Split(text, ",")
				if len(parts) != 3 {
					return errors.Newf("--upstream: found %q, allowed: service,name,address", text)
				}
				if d.Upstreams[parts[0]] == nil {
					d.Upstreams[parts[0]] = map[string]string{}
				}
				d.Upstreams[parts[0]][parts[1]] = parts[2]
			}
			return d.Run(cmd.Context())
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&daemons, "daemon", nil, "callers,admin,domain of a daemon")
	f.StringArrayVar(&upstreams, "upstream", nil, "service,name,address of an upstream")
	f.StringVar(&key, "key", "", "administration key of team *")
	return cmd
}
