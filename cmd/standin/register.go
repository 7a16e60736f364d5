package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"shallotglade/pkg/platform"
)

// newRegisterCommand returns the command that adds a host to the membership list.
// A real platform does this when it starts a host.
func newRegisterCommand(_ zerolog.Logger) *cobra.Command {
	var platformURL, state string
	var m platform.Member
	cmd := &cobra.Command{
		Use:   "register",
		Short: "Enter a host into the platform stand-in's membership list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m.State = platform.MemberState(state)
			body, err := json.Marshal(m)
			if err != nil {
				return err
			}
			r, err := http.NewRequestWithContext(cmd.Context(), http.MethodPut, platformURL+"/v1/members/"+url.PathEscape(m.ID), bytes.NewReader(body))
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode >= 300 {
				return errors.Newf("status %d", resp.StatusCode)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&platformURL, "platform", "http://"+defaultPlatformListen, "base URL of the platform stand-in")
	f.StringVar(&m.ID, "id", "", "id of the host")
	f.StringVar(&m.Role, "role", platform.RoleUpstream, "daemon or upstream")
	f.StringVar(&m.Service, "service", "", "service of an upstream")
	f.StringVar(&m.Address, "address", "", "IP:port for requests")
	f.StringVar(&m.PeerAddress, "peer-address", "", "IP:port for other daemons")
	f.StringVar(&m.Region, "region", "", "region")
	f.StringVar(&m.Domain, "domain", "", "failure domain")
	f.IntVar(&m.Slots, "slots", 0, "slots of an upstream")
	f.StringVar(&state, "state", string(platform.Live), "live or leaving")
	return cmd
}
