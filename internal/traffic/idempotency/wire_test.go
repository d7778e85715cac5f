package idempotency

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// Guards against faults that only real connections show: two concurrent claims
// of one id through several instances that both succeed, and a home with a
// closed port that counts as unreachable instead of dead, so that its ids cannot
// run.
func TestOverTwirp(t *testing.T) {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	settings := setting.Defaults()
	settings.Secret = "0123456789abcdef"
	records := map[string]*Records{}
	servers := map[string]*httptest.Server{}
	var list []member.Instance
	for _, id := range []string{"a1", "b1", "c1"} {
		instanceSettings := settings
		instanceSettings.ID = id
		client := fleet.NewClient(instanceSettings, meter.NewSet())
		records[id] = New(instanceSettings, timers, meter.NewSet(), Seams{
			View:    func() *member.View { return member.NewView(list) },
			Peer:    func(i member.Instance) Once { return NewOnceProtobufClient(fleet.URL(i.Peer), client) },
			Refused: fleet.IsConnRefused, Report: func(string, bool, bool) {}, Current: func() bool { return true },
		})
		servers[id] = httptest.NewServer(fleet.RequireSecret(settings.Secret, meter.NewSet(), records[id].Server()))
		t.Cleanup(servers[id].Close)
		list = append(list, member.Instance{ID: id, Zone: id[:1], Peer: strings.TrimPrefix(servers[id].URL, "http://")})
	}
	for range 66 * time.Second / tickPeriod {
		for _, r := range records {
			r.observe()
		}
		driver.Advance(tickPeriod)
	}
	var mu sync.Mutex
	claimed := 0
	var calls sync.WaitGroup
	for range 10 {
		for _, r := range records {
			calls.Go(func() {
				_, err := r.Claim(context.Background(), "acme", "x", "d")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					claimed++
				case code.Of(err).Run == code.NotRun:
					t.Errorf("a refused claim says that the request did not run, but another claim may have run it: %v", err)
				}
			})
		}
	}
	calls.Wait()
	if claimed > 1 {
		t.Errorf("%d concurrent claims of one id succeeded, want at most 1", claimed)
	}
	homeIDs := member.NewView(list).Homes("acme\x00y", homeCount)
	servers[homeIDs[0]].Close()
	if _, err := records[homeIDs[1]].Claim(context.Background(), "acme", "y", "d"); err != nil {
		t.Errorf("claim with one dead home: %v", err)
	}
}
