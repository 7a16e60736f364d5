package main

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"shallotglade/pkg/admin"
)

// options are the flags that all commands share.
type options struct {
	adminAddresses []string
	key            string
	keyFile        string
	output         string
}

func newRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "shallotctl",
		Short: "Change and watch the services of a shallotglade fleet",
		Long: `shallotctl reads and changes services' documents, and shows what the daemons see.

It talks to the administration API of any daemon. The daemons' addresses come
from --admin or SHALLOTCTL_ADMIN (comma-separated IP:port), the key from
--key-file or SHALLOTCTL_KEY.

Exit codes: 0 success, 1 failure, 2 invalid input, 3 a conflicting change.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.adminAddresses, "admin", splitList(os.Getenv("SHALLOTCTL_ADMIN")), "admin addresses of daemons, tried in order")
	flags.StringVar(&o.keyFile, "key-file", "", "file that holds the administration key")
	flags.StringVarP(&o.output, "output", "o", "table", "output form: table, yaml or json")
	o.key = os.Getenv("SHALLOTCTL_KEY")
	root.AddCommand(newService(o), newStatus(o), newDaemons(o), newDrain(o), newAddresses(o), newCerts())
	return root
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// client returns a client for the administration API of the configured daemons.
func (o *options) client() (*admin.Client, error) {
	if len(o.adminAddresses) == 0 {
		return nil, errors.New("no daemon given: set --admin or SHALLOTCTL_ADMIN")
	}
	key := o.key
	if o.keyFile != "" {
		data, err := os.ReadFile(o.keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the key")
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, errors.New("no key given: set --key-file or SHALLOTCTL_KEY")
	}
	return admin.NewClient(o.adminAddresses, key)
}
