// Command standin runs the stand-ins of outside systems for tests and the demo.
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

// subcommand builds one stand-in; each lives in a file of its own.
type subcommand func(log zerolog.Logger) *cobra.Command

// subcommands are the stand-ins of this program.
var subcommands = []subcommand{
	newPlatformCommand,
	newUpstreamCommand,
	newRegisterCommand,
	newDemoCommand,
}

func main() {
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: time.RFC3339}).
		With().Timestamp().Logger()
	// hertz prints banner lines of its own; they become debug lines.
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
