package config

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

// TestScripts runs the scripts in testdata. The comment at the top of each names
// the failure that it guards against: lost answers, races, older data, outages,
// restarts and partitions.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFleet(t)
		folder := t.TempDir()
		f.adjust = func(s *setting.Settings) {
			if s.ID == "disk" {
				s.Data = folder
			}
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f.t = t
			return f.runCommand(d)
		})
	})
}

func (f *testFleet) runCommand(d *datadriven.TestData) string {
	words := make([]string, 0, len(d.CmdArgs))
	for _, a := range d.CmdArgs {
		words = append(words, a.Key)
	}
	switch d.Cmd {
	case "start":
		for _, w := range words {
			zone, id, _ := strings.Cut(w, "/")
			f.start(id, zone)
		}
		return ""
	case "kill":
		for _, w := range words {
			f.nodes[w].shutDown()
			f.nodes[w].dead = true
		}
		return ""
	case "unlist":
		f.unlist(words[0])
		return ""
	case "step":
		n := 1
		if len(words) > 0 {
			n, _ = strconv.Atoi(words[0])
		}
		for range n {
			f.step()
		}
		return f.describe()
	case "cut", "heal":
		f.setCut(words[0], words[1], d.Cmd == "cut")
		return ""
	case "platform":
		return f.platformCommand(words)
	case "edit":
		return f.editConcurrently(d.Input)
	case "save":
		if err := save(f.nodes[words[0]].settings.Data, f.nodes[words[0]].Table()); err != nil {
			return err.Error()
		}
		return ""
	default:
		return "unknown command " + d.Cmd
	}
}

func (f *testFleet) unlist(id string) {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	for i, m := range f.platform.instances {
		if m.ID == id {
			f.platform.instances = append(f.platform.instances[:i:i], f.platform.instances[i+1:]...)
			return
		}
	}
}

func (f *testFleet) platformCommand(words []string) string {
	p := f.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	switch words[0] {
	case "outage":
		p.outage = words[1] == "on"
	case "lose":
		p.loseAnswers, _ = strconv.Atoi(words[1])
	case "stale":
		n, _ := strconv.Atoi(words[1])
		p.staleRevision = uint64(n)
	case "restore":
		n, _ := strconv.Atoi(words[1])
		p.revision = uint64(n)
		p.objects = map[string]objects.Object{}
		for k, o := range p.history[p.revision] {
			p.objects[k] = o
		}
	case "show":
		o := p.objects[objectKind+"/"+headName]
		return fmt.Sprintf("store=%d head revision=%d %s\n", p.revision, o.Revision, o.Value)
	}
	return ""
}

// editConcurrently runs the edits of an input concurrently. Each line has the form
// INSTANCE EDIT-ID TABLE/NAME REVISION VALUE, where the value "-" deletes.
func (f *testFleet) editConcurrently(input string) string {
	lines := strings.Split(strings.TrimSpace(input), "\n")
	out := make([]string, len(lines))
	f.runWithClock(func() {
		var group sync.WaitGroup
		for i, line := range lines {
			group.Go(func() { out[i] = f.edit(line) })
		}
		group.Wait()
	})
	f.awaitPushes()
	return strings.Join(out, "\n")
}

func (f *testFleet) edit(line string) string {
	words := strings.SplitN(line, " ", 5)
	tableName, name, _ := strings.Cut(words[2], "/")
	revision, _ := strconv.ParseUint(words[3], 10, 64)
	row := table.Row{Table: tableName, Name: name, Revision: revision, Value: rawJSON(words[4])}
	if words[4] == "-" {
		row.Value, row.Deleted = nil, true
	}
	accepted, err := f.nodes[words[0]].Edit(context.Background(), words[1], row)
	if err != nil {
		coded := code.Of(err)
		out := fmt.Sprintf("%s %s: %s run=%s", words[0], words[1], coded.Code, coded.Run)
		if coded.Code == code.EditConflict {
			out += fmt.Sprintf(" winner=%d %s", accepted.Row.Revision, accepted.Row.Value)
		}
		return out
	}
	return fmt.Sprintf("%s %s: accepted %d pushed=%v", words[0], words[1], accepted.Sequence, accepted.Pushed)
}
