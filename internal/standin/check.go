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

// Steps prints what each step expected and saw, and counts the failed ones.
type Steps struct {
	Out    io.Writer
	Failed int
	number int
}

// Check prints one step.
func (s *Steps) Check(name string, ok bool, expected, seen string) {
	s.number++
	mark := "ok  "
	if !ok {
		mark = "FAIL"
		s.Failed++
	}
	fmt.Fprintf(s.Out, "%s %2d. %s\n        expected: %s\n        seen:     %s\n", mark, s.number, name, expected, seen)
}

// control calls the stand-ins' own endpoints.
var control = &http.Client{Timeout: 2 * time.Second}

// SetMode changes how the upstream at an address misbehaves.
func SetMode(ctx context.Context, address string, m Mode) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, "PUT", "http://"+address+"/standin/mode", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := control.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// Executions asks the upstream at an address what it ran.
func Executions(ctx context.Context, address string) (Execution, error) {
	var e Execution
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+address+"/standin/executions", nil)
	if err != nil {
		return e, err
	}
	resp, err := control.Do(r)
	if err != nil {
		return e, err
	}
	defer resp.Body.Close()
	return e, json.NewDecoder(resp.Body).Decode(&e)
}

// RunsByKey adds up how often each key was run at the given upstreams.
func RunsByKey(ctx context.Context, addresses []string) (map[string]int, error) {
	all := map[string]int{}
	for _, a := range addresses {
		e, err := Executions(ctx, a)
		if err != nil {
			return nil, err
		}
		for k, n := range e.Runs {
			all[k] += n
		}
	}
	return all, nil
}
