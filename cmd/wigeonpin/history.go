package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 1 << 20

type historyCommand struct {
	ID    string   `arg:"positional,required" help:"id of a request, an item, a batch, an endpoint or an account"`
	Files []string `arg:"positional,required" help:"log files of the processes"`
}

// logLine is one log line: its text, and the time by which lines are sorted.
type logLine struct {
	Time     string `json:"time"`
	Instance string `json:"instance"`
	text     string
}

// run prints all log lines that contain the id, sorted by time.
func (c historyCommand) run(context.Context) error {
	var found []logLine
	for _, path := range c.Files {
		lines, err := search(path, c.ID)
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return eris.Errorf("no log line contains %q in %d files", c.ID, len(c.Files))
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Time < found[j].Time })
	for _, line := range found {
		fmt.Println(line.text)
	}
	return nil
}

// search returns the JSON lines of a log file that contain the id. It removes any
// text before the JSON object, such as the prefix of a log collector.
func search(path, id string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open log file")
	}
	defer file.Close()
	var found []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 || !strings.Contains(scanner.Text(), id) {
			continue
		}
		line := logLine{text: scanner.Text()[start:]}
		if json.Unmarshal([]byte(line.text), &line) == nil {
			found = append(found, line)
		}
	}
	return found, eris.Wrapf(scanner.Err(), "read log file %s", path)
}
