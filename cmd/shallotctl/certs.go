package main

import (
	"github.com/spf13/cobra"

	"shallotglade/internal/testcerts"
)

func newCerts() *cobra.Command {
	var dir string
	c := &cobra.Command{
		Use: "certs --dir DIR ID...", Short: "Make peer keys for a trial fleet", Args: cobra.MinimumNArgs(1),
		Long: `certs makes a certificate authority and a certificate and key for each daemon id.
The authority's key is not saved, so further daemons need a new set. Production
fleets use their own authority.`,
		RunE: func(_ *cobra.Command, args []string) error { return testcerts.WriteDir(dir, args...) },
	}
	c.Flags().StringVar(&dir, "dir", "keys", "directory to write to")
	return c
}
