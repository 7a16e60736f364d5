package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"shallotglade/pkg/admin"
	"shallotglade/pkg/document"
)

// versionComment starts the first line of the output of "service get". "service
// apply" reads it, so that a change states the version that was edited.
const versionComment = "# version: "

var versionPattern = regexp.MustCompile(`(?m)^# version: (\d+)\s*$`)

func newService(o *options) *cobra.Command {
	c := &cobra.Command{Use: "service", Short: "Read and change services' documents"}
	c.AddCommand(newServiceList(o), newServiceGet(o), newServiceApply(o), newServiceDiff(o),
		newServiceValidate(), newServiceHistory(o), newServiceDelete(o))
	return c
}

func newServiceList(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the services that the key reaches", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			services, err := client.Services(cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), services, func() [][]string {
				rows := [][]string{{"SERVICE", "TEAM", "VERSION"}}
				for _, s := range services {
					rows = append(rows, []string{s.Name, s.Team, fmt.Sprint(s.Version)})
				}
				return rows
			})
		},
	}
}

func newServiceGet(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "get NAME", Short: "Print a document, with its version in the first line", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			s, err := client.Service(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if o.output != "table" {
				return o.print(cmd.OutOrStdout(), s, nil)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s%d\n%s\n", versionComment, s.Version, strings.TrimRight(stripVersion(s.Document), "\n"))
			return nil
		},
	}
}

func stripVersion(text string) string {
	return strings.TrimLeft(versionPattern.ReplaceAllString(text, ""), "\n")
}

// readDocument reads and checks a document file; "-" means standard input.
func readDocument(file string) ([]byte, *document.Service, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, document.MaxBytes+1))
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the document")
	}
	parsed, problems := document.Parse(file, data)
	return data, parsed, problems.Err()
}

func newServiceApply(o *options) *cobra.Command {
	var file string
	var version uint64
	var waitTimeout time.Duration
	c := &cobra.Command{
		Use: "apply -f FILE", Short: "Create or change a service", Args: cobra.NoArgs,
		Long: `apply stores a document if the service is still at the version that was edited.

The version comes from --version, or from the line "# version: N" that "service
get" puts into the file. A new service needs none. If somebody else has changed
the document meanwhile, nothing is stored; the difference to the present
document is printed, and the exit code is 3.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, parsed, err := readDocument(file)
			if err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			if version == 0 {
				version = versionFromComment(data)
			}
			s, err := client.Put(cmd.Context(), parsed.Service, version, []byte(stripVersion(string(data))))
			if err != nil {
				return explainConflict(err, version)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "service %s accepted as version %d\n", s.Name, s.Version)
			return waitInForce(cmd.Context(), client, s, waitTimeout)
		},
	}
	c.Flags().StringVarP(&file, "file", "f", "", "document file, - for standard input")
	c.Flags().Uint64Var(&version, "version", 0, "version that was edited")
	c.Flags().DurationVar(&waitTimeout, "wait", 0, "how long to wait until every home has the document in force")
	_ = c.MarkFlagRequired("file")
	return c
}

func versionFromComment(data []byte) uint64 {
	m := versionPattern.FindSubmatch(data)
	if m == nil {
		return 0
	}
	v, _ := strconv.ParseUint(string(m[1]), 10, 64)
	return v
}

// explainConflict adds instructions to the error of a conflicting change.
func explainConflict(err error, version uint64) error {
	var f *admin.Failure
	if !errors.As(err, &f) || f.Reason != admin.ReasonConflict || f.Current == nil {
		return err
	}
	return errors.WithMessagef(err, "edited version %d, in force version %d; read the difference, then apply with --version %d",
		version, f.Current.Version, f.Current.Version)
}

const inForcePollInterval = 200 * time.Millisecond

func waitInForce(ctx context.Context, client *admin.Client, s admin.Service, timeout time.Duration) error {
	if timeout == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		outdated, err := outdatedHomes(ctx, client, s)
		if err == nil && len(outdated) == 0 {
			return nil
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-ctx.Done():
			return errors.Newf("version %d is accepted, but not yet in force at: %s", s.Version, strings.Join(outdated, ", "))
		}
	}
}

func outdatedHomes(ctx context.Context, client *admin.Client, s admin.Service) ([]string, error) {
	statuses, err := client.Status(ctx, s.Name, true)
	if err != nil {
		return nil, err
	}
	var outdated []string
	for _, d := range statuses {
		if d.Status == nil || d.Status.Version < s.Version {
			outdated = append(outdated, d.Daemon)
		}
	}
	return outdated, nil
}

func newServiceDiff(o *options) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "diff -f FILE", Short: "Show what apply would change", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, parsed, err := readDocument(file)
			if err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			s, err := client.Service(cmd.Context(), parsed.Service)
			var f *admin.Failure
			if err != nil && (!errors.As(err, &f) || f.Reason != admin.ReasonNotFound) {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), admin.Diff(stripVersion(s.Document), stripVersion(string(data)), fmt.Sprintf("version %d", s.Version), file))
			return nil
		},
	}
	c.Flags().StringVarP(&file, "file", "f", "", "document file, - for standard input")
	_ = c.MarkFlagRequired("file")
	return c
}

func newServiceValidate() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE...", Short: "Check documents without a daemon", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var errs error
			for _, file := range args {
				if _, _, err := readDocument(file); err != nil {
					errs = errors.Join(errs, err)
				} else {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", file)
				}
			}
			return errs
		},
	}
}

func newServiceHistory(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "history NAME", Short: "List earlier versions of a document", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			changes, err := client.History(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), changes, func() [][]string {
				rows := [][]string{{"VERSION", "AT", "AUTHOR"}}
				for _, ch := range changes {
					rows = append(rows, []string{fmt.Sprint(ch.Version), ch.Time.Format(time.RFC3339), ch.Author})
				}
				return rows
			})
		},
	}
}

func newServiceDelete(o *options) *cobra.Command {
	var version uint64
	c := &cobra.Command{
		Use: "delete NAME --version N", Short: "Remove a service", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			return client.Delete(cmd.Context(), args[0], version)
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "version that is in force")
	_ = c.MarkFlagRequired("version")
	return c
}
