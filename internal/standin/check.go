package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Steps prints the expected and the observed result of each step and counts failures.
type Steps struct {
	Out    io.Writer
	Failed int
	number int
}

// Check prints the result of one step.
func (s *Steps) Check(name string, ok bool, expected, seen string) {
	s.number++
	result := "ok  "
	if !ok {
		result = "FAIL"
		s.Failed++
	}
	fmt.Fprintf(s.Out, "%s %2d. %s\n        expected: %s\n        seen:     %s\n", result, s.number, name, expected, seen)
}

// controlClient calls the control endpoints of the stand-ins and the admin endpoints of
// daemons.
var controlClient = &http.Client{Timeout: 2 * time.Second}

// SetMode sets the failure mode of the upstream at an address.
func SetMode(ctx context.Context, address string, m Mode) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, "PUT", "http://"+address+"/standin/mode", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := controlClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// Executions returns the counts of executed requests of the upstream at an address.
func Executions(ctx context.Context, address string) (e ExecutionCounts, err error) {
	return e, query(ctx, address, "executions", &e)
}

// Arrivals returns the requests that reached the upstream at an address, which must record
// them.
func Arrivals(ctx context.Context, address string) (list []Arrival, err error) {
	return list, query(ctx, address, "arrivals", &list)
}

// query decodes the answer of a control endpoint of the upstream at an address into out.
func query(ctx context.Context, address, endpoint string, out any) error {
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+address+"/standin/"+endpoint, nil)
	if err != nil {
		return err
	}
	resp, err := controlClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// RunsByKey returns how often each key ran, summed over the given upstreams.
func RunsByKey(ctx context.Context, addresses []string) (map[string]int, error) {
	runs := map[string]int{}
	for _, a := range addresses {
		e, err := Executions(ctx, a)
		if err != nil {
			return nil, err
		}
		for k, n := range e.Runs {
			runs[k] += n
		}
	}
	return runs, nil
}
