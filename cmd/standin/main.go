// Command standin runs stand-ins for external systems, for tests and the demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// subcommand creates one subcommand; each is defined in a separate file.
type subcommand func(log zerolog.Logger) *cobra.Command

// subcommands are all subcommands of this program.
var subcommands = []subcommand{
	newPlatformCommand,
	newUpstreamCommand,
	newRegisterCommand,
	newDemoCommand,
}

func main() {
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: time.RFC3339}).
		With().Timestamp().Logger()
	// Log the banner lines that hertz prints at debug level.
	hlog.SetOutput(hertzLog{log})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newRootCommand(log).ExecuteContext(ctx)
	stop()
	if err != nil {
		log.Error().Err(err).Msg("standin: stopped")
		os.Exit(1)
	}
}

func newRootCommand(log zerolog.Logger) *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins of outside systems for tests and the demo",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, build := range subcommands {
		root.AddCommand(build(log))
	}
	return root
}
