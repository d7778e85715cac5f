package config

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// Guards against polls that fetch the whole head although its rows have already
// arrived from another instance. At 25,000 edits a day such polls exceed a relay's
// traffic.
func TestPollsSkipKnownHeads(t *testing.T) {
	f := newFleet(t)
	for _, id := range []string{"a1", "a2", "b1"} {
		f.start(id, id[:1])
	}
	for range 3 {
		f.step()
	}
	f.platform.listedBytes = 0
	for i := range 5 {
		f.editConcurrently(fmt.Sprintf("a1 e%d account/acme%d 0 {}", i, i))
		f.step()
	}
	if f.platform.listedBytes > 0 {
		t.Errorf("polls fetched %d bytes of heads that pushes had delivered", f.platform.listedBytes)
	}
}

// Guards against loops that do not work together on the system's clock, over
// sockets and with the fleet's secret, and against goroutines that outlive Run.
func TestRunOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p := newPlatform()
	timers := clock.NewSystem()
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []*Config
	var runs []func(context.Context) error
	var ends []chan error
	for i := range 4 {
		settings := setting.Defaults()
		settings.ID, settings.Zone = fmt.Sprintf("i%d", i), fmt.Sprintf("zone-%d", i%2)
		settings.Secret, settings.ExchangeMS = strings.Repeat("s", 16), 50
		var handler http.Handler
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
		defer server.Close()
		settings.Peer = server.Listener.Addr().String()
		p.instances = append(p.instances, member.Instance{ID: settings.ID, Zone: settings.Zone, Peer: settings.Peer, State: member.StateLive})
		client := fleet.NewClient(settings, meter.NewSet())
		defer client.CloseIdleConnections()
		d := member.NewDirectory(settings, timers, member.Seams{
			Fetch: func(context.Context) ([]member.Instance, error) {
				p.mu.Lock()
				defer p.mu.Unlock()
				return append([]member.Instance{}, p.instances...), nil
			},
		}, logs.Discard())
		c := New(settings, timers, Seams{
			Store: Store{Get: p.get, List: p.listPage, Put: p.put, Delete: p.remove}, Peers: client, Directory: d,
		}, logs.Discard())
		handler = fleet.RequireSecret(settings.Secret, meter.NewSet(), c.Server())
		nodes = append(nodes, c)
		runs = append(runs, d.Run, c.Run)
	}
	for _, run := range runs {
		end := make(chan error, 1)
		ends = append(ends, end)
		go func() { end <- run(ctx) }()
	}
	wait := func(what string, ok func(c *Config) bool) {
		t.Helper()
		(&testFleet{t: t}).await("all instances "+what, func() bool {
			return !slices.ContainsFunc(nodes, func(c *Config) bool { return !ok(c) })
		})
	}
	wait("become fresh and see the others", func(c *Config) bool {
		ok, _ := c.Fresh()
		return ok && !c.isolated() && len(c.seams.Directory.View().IDs()) == 4
	})
	row := table.Row{Table: table.Accounts, Name: "acme", Value: rawJSON(`{"weight":2}`)}
	accepted, err := nodes[3].Edit(ctx, "e1", row)
	if err != nil || !accepted.Pushed {
		t.Errorf("edit: %+v, %v", accepted, err)
	}
	wait("hold the edit", func(c *Config) bool { _, ok := c.Table().Account("acme"); return ok })
	answer, err := http.Post("http://"+nodes[0].settings.Peer+FeedPathPrefix+"Exchange", "application/protobuf", &bytes.Buffer{})
	if err != nil || answer.StatusCode != http.StatusForbidden {
		t.Errorf("a call without the fleet's secret: %v, %v", answer, err)
	} else {
		_ = answer.Body.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	cancel()
	for _, end := range ends {
		if err := <-end; err != nil {
			t.Error(err)
		}
	}
}
