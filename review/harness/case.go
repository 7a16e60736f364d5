package harness

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Case is the running case with its record.
type Case struct {
	// Root is the root of the project. Trouble is false if the run is without the disruption.
	Root    string
	Trouble bool
	Start   time.Time

	mu     sync.Mutex
	file   *os.File
	buffer *bufio.Writer
}

// Begin opens the record of the case in the folder that the first argument names.
func Begin() (*Case, error) {
	if len(os.Args) < 2 {
		return nil, fmt.Errorf("usage: %s FOLDER", filepath.Base(os.Args[0]))
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Case{Root: root, Trouble: os.Getenv("TROUBLE") != "0", Start: time.Now(), file: file, buffer: bufio.NewWriter(file)}, nil
}

// Log writes a line to the record, with the time since the start.
func (c *Case) Log(format string, args ...any) {
	c.LogAt(time.Now(), format, args...)
}

// LogAt writes a line to the record for an event at a time.
func (c *Case) LogAt(at time.Time, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.buffer, "%9.3f s  ", at.Sub(c.Start).Seconds())
	fmt.Fprintf(c.buffer, format+"\n", args...)
}

// Result writes a line to the record and to standard output.
func (c *Case) Result(format string, args ...any) {
	c.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// End closes the record.
func (c *Case) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.buffer.Flush()
	_ = c.file.Close()
}

// Main runs a case and exits with its code.
func Main(run func(*Case) (broken bool, err error)) {
	c, err := Begin()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	broken, err := run(c)
	switch {
	case err != nil:
		c.Result("the case could not run: %v", err)
		c.End()
		os.Exit(Failed)
	case broken:
		c.End()
		os.Exit(Broken)
	}
	c.End()
	os.Exit(Held)
}
