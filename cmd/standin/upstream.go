package main

import (
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"shallotglade/internal/standin"
)

// crashCode is the exit code of an upstream that was crashed by a request.
const crashCode = 70

// newUpstreamCommand returns the command that serves one upstream.
func newUpstreamCommand(log zerolog.Logger) *cobra.Command {
	var c standin.UpstreamConfig
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Serve requests with a fixed number of slots, and fail as told",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Crash = func() { os.Exit(crashCode) }
			u := standin.NewUpstream(c)
			go func() {
				<-cmd.Context().Done()
				os.Exit(0)
			}()
			log.Info().Str("name", c.Name).Str("listen", c.Listen).Msg("upstream: serving")
			return u.Run()
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.Name, "name", "upstream", "name given in answers")
	f.StringVar(&c.Listen, "listen", "127.0.0.1:9000", "address to serve")
	f.IntVar(&c.Slots, "slots", 3, "requests that run at a time")
	f.IntVar(&c.Queue, "queue", 2, "requests that wait for a slot before more are shed")
	f.DurationVar(&c.ServiceTime, "service-time", 20*time.Millisecond, "mean time of a request")
	f.BoolVar(&c.Record, "record", false, "keep the header of each request for /standin/arrivals")
	return cmd
}
