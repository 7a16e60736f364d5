// Command shallotgladed is the daemon of a shallotglade fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"shallotglade/internal/strictyaml"
	"shallotglade/pkg/daemon"
	"shallotglade/pkg/panics"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/telemetry"
	adapter "shallotglade/platform"
)

// exitInvalid is the exit code for invalid settings.
const exitInvalid = 2

// adapters maps names to platform adapters other than the native one.
var adapters = map[string]daemon.AdapterFactory{adapter.Name: adapter.New}

func main() { os.Exit(execute()) }

// execute runs the command and returns the exit code.
func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		return exitInvalid
	}
	return 1
}

func newRoot() *cobra.Command {
	var file string
	var checkOnly bool
	root := &cobra.Command{
		Use:   "shallotgladed --config FILE",
		Short: "Serve callers in front of upstreams that fail grayly",
		Long: `shallotgladed is one daemon of a fleet. It checks all settings before it opens
a port and serves until SIGTERM; it then drains without cutting a request.
SIGHUP reloads the settings and the peer keys; the log names changed settings
that take effect only after a restart.

Exit codes: 0 drained without loss, 1 failure, 2 invalid settings.`,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Read(file)
			if err != nil || checkOnly {
				return err
			}
			return run(cmd.Context(), file, s)
		},
	}
	root.Flags().StringVar(&file, "config", "", "settings file")
	root.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	_ = root.MarkFlagRequired("config")
	return root
}

// logCloseTimeout limits the time for writing the last log lines on exit.
const logCloseTimeout = 100 * time.Millisecond

func run(ctx context.Context, file string, s *settings.Settings) error {
	// Register SIGHUP before the daemon starts; its default action ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	output := telemetry.NewOutput(os.Stdout, s.Log.LinesPerSecond)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
		defer cancel()
		output.Close(ctx)
	}()
	log := telemetry.NewLogger(output, s.Log.Level, s.Listen.Callers)
	telemetry.CaptureHTTP(log)
	telemetry.CaptureStandard(log)
	panics.SetLogger(log)
	d, err := daemon.New(s, adapters, log)
	if err != nil {
		log.Error().Err(err).Msg("daemon: not started")
		return err
	}
	go reloadOnHangup(ctx, hangup, d, file, log)
	err = d.Run(ctx)
	log.Info().Err(err).Msg("daemon: stopped")
	return err
}

func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, d *daemon.Daemon, file string, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			next, err := settings.Read(file)
			if err == nil {
				err = d.Reload(next)
			}
			if err != nil {
				log.Error().Err(err).Msg("daemon: reload of settings or peer keys failed; the previous ones stay in force")
			}
		}
	}
}
