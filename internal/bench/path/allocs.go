package main

import (
	"bufio"
	"bytes"
	"context"
	"os/exec"
	"strconv"
	"strings"

	"shallotglade/internal/bench/table"

	"github.com/cockroachdb/errors"
)

// allocs runs the Go benchmarks of pkg/proxy and returns their figures.
func (b *bench) allocs(ctx context.Context) ([]table.Result, error) {
	output, err := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", ".", "-benchmem", "-benchtime", "1s", "shallotglade/pkg/proxy").CombinedOutput()
	if err != nil {
		return nil, errors.Wrapf(err, "go test: %s", output)
	}
	var rows []table.Result
	for lines := bufio.NewScanner(bytes.NewReader(output)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 8 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		r := table.Result{Case: strings.TrimPrefix(fields[0], "Benchmark")}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return rows, errors.Wrap(err, lines.Text())
			}
			r.Set(fields[i+1], value)
		}
		rows = append(rows, r)
	}
	return rows, nil
}
