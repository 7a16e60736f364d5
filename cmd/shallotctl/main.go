// Command shallotctl is the command-line client of the administration API.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/strictyaml"
	"shallotglade/pkg/admin"
)

// Exit codes.
const (
	exitFailure  = 1
	exitInvalid  = 2
	exitConflict = 3
)

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
	return exitCode(err)
}

func exitCode(err error) int {
	var problems strictyaml.Problems
	var failure *admin.Failure
	switch {
	case errors.As(err, &problems):
		return exitInvalid
	case errors.As(err, &failure) && failure.Reason == admin.ReasonInvalid:
		return exitInvalid
	case errors.As(err, &failure) && failure.Reason == admin.ReasonConflict:
		return exitConflict
	default:
		return exitFailure
	}
}
