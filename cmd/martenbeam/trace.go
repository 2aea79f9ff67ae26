package main

// The lab trace command.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"martenbeam/internal/lab"
	"martenbeam/internal/lab/check"
)

// traceCmd is `martenbeam lab trace`.
type traceCmd struct {
	File string `name:"file" arg:"" help:"What lab run --events wrote." type:"existingfile"`
	ID   string `arg:"" name:"request-id" help:"The id of a try, or of a client's first try."`
}

// Run prints the history of the request with the given id and of each request with which a client retried it. A client gives each
// retry a new id. If there is no such request, Run returns a usageError.
func (c *traceCmd) Run(o *output) error {
	file, err := os.Open(c.File)
	if err != nil {
		return usageError{err}
	}
	defer file.Close()
	lines := bufio.NewReader(file)
	found := false
	for n := 1; ; n++ {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			break
		}
		if err != nil && err != io.EOF {
			return err
		}
		if !strings.Contains(line, c.ID) {
			continue
		}
		var request check.Request
		if err := json.Unmarshal([]byte(line), &request); err != nil {
			return usageError{fmt.Errorf("%s:%d: %w", c.File, n, err)}
		}
		if request.ID == c.ID || request.FirstID == c.ID {
			lab.WriteHistory(o.stdout, &request)
			found = true
		}
	}
	if !found {
		return usageError{fmt.Errorf("%s contains no request with id %s", c.File, c.ID)}
	}
	return nil
}
