package main

import (
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"shallotglade/internal/platformapi"
	"shallotglade/pkg/platform/memstore"
)

// defaultPlatformListen is the default address of the platform stand-in.
const defaultPlatformListen = "127.0.0.1:7070"

// newPlatformCommand returns the command that serves an in-memory platform.
func newPlatformCommand(log zerolog.Logger) *cobra.Command {
	var listen, faults string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the object API and the membership list from memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store := memstore.New()
			if faults != "" {
				var f memstore.Faults
				if err := json.Unmarshal([]byte(faults), &f); err != nil {
					return errors.Wrap(err, "--initial-faults")
				}
				store.SetFaults(f)
			}
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return errors.Wrap(err, "--listen")
			}
			log.Info().Str("address", listener.Addr().String()).Msg("platform: listening")
			return platformapi.New(platformapi.Config{Listener: listener, Store: store}).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", defaultPlatformListen, "IP:port to listen on")
	cmd.Flags().StringVar(&faults, "initial-faults", "",
		`faults from the start, as JSON of memstore.Faults, such as {"down":true}`)
	return cmd
}
