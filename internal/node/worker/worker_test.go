package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/node/profile"
	"github.com/wigeonpin/wigeonpin/internal/node/view"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/runner"
)

// standby is another worker that has a copy of the complete text of one item.
type standby struct {
	asked   atomic.Int64
	textKey string
}

func (s *standby) Keep(context.Context, *runner.KeepRequest) (*runner.KeepReply, error) {
	return &runner.KeepReply{}, nil
}

func (s *standby) Recall(context.Context, *runner.RecallRequest) (*runner.RecallReply, error) {
	s.asked.Add(1)
	return &runner.RecallReply{Texts: []*runner.Text{
		{Item: s.textKey, Pieces: []string{"one", "two"}, Last: 2, Versions: []int64{1}, Complete: true, Origin: "o"},
	}}, nil
}

// Guards against a restarted worker that generates all texts again: it takes
// the role at once and asks for copies before it has read the list of the other
// workers and the batches. The test has no engine, so that the output can only
// come from the standby's copy.
func TestRestartedHolderRecallsTexts(t *testing.T) {
	t.Run("workers known late", func(t *testing.T) { testRecall(t, 300*time.Millisecond, 0) })
	t.Run("batches known late", func(t *testing.T) { testRecall(t, 0, 300*time.Millisecond) })
}

func testRecall(t *testing.T, workersDelay, batchesDelay time.Duration) {
	t.Helper()
	l := ledger.New()
	store := l.Store()
	b := &batch.Batch{ID: "b1", Account: "acme", Host: "h", Model: "m", MinVersion: 1, Time: time.Now(), Items: []batch.Item{{ID: "i1", Path: "/gen/i1"}}}
	s := &standby{textKey: b.TextKey(&b.Items[0])}
	server := httptest.NewServer(runner.NewStandbyServer(s))
	defer server.Close()
	if err := batch.NewStore(store, 1<<20).Accept(context.Background(), b); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Create(context.Background(), records.Record{Kind: "config", Name: "main"}); err != nil {
		t.Fatal(err)
	}
	slow := store
	slow.List = func(ctx context.Context, kind, after string) (records.Page, error) {
		if kind == batch.KindBatches {
			time.Sleep(batchesDelay)
		}
		return store.List(ctx, kind, after)
	}
	began := time.Now()
	known := func() bool { return time.Since(began) >= workersDelay }
	route := manifest.Route{Host: "h", Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 2, ItemTimeout: time.Minute, Targets: []manifest.Target{{Service: "llm", Weight: 1}}}
	w := New(profile.Profile{Name: "w1", Zone: "a"}.WithDefaults(), Dependencies{
		Store: slow, PeersSynced: known, ExpirePeers: func(context.Context, func() bool) {},
		Peers: func() []string {
			if !known() {
				return nil
			}
			return []string{strings.TrimPrefix(server.URL, "http://")}
		},
		Formats: view.Formats{
			ManifestKind: "config", ManifestName: "main", EndpointKind: "endpoints", ZoneKind: "zones",
			Manifest: func(records.Record) (*manifest.Manifest, error) {
				return manifest.New(1, []manifest.Route{route}, nil, nil, manifest.Limits{}), nil
			},
			Endpoint: func(records.Record) (replica.Entry, error) { return replica.Entry{}, nil },
		},
		Names: headers.Names{Request: "X-Request"}, VersionKind: "versions", RetirementKind: "retirements",
		Duties: Duties{
			EncodeUsage: func(int64, map[string]int64) ([]byte, error) { return []byte("{}"), nil },
			SendUsage:   func(context.Context, uint64, []byte) error { return nil },
		},
	}, clock.NewSystem(), logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	w.Mount(ctx, http.NewServeMux())
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		pages, err := batch.NewStore(store, 1<<20).Pages(ctx, "b1")
		if err == nil && len(pages) > 0 {
			if got := pages[0].Results[0]; got.Output != "one\ntwo" || !got.Done {
				t.Errorf("result %+v, want the text of the standby", got)
			}
			return
		}
	}
	t.Errorf("no result within 20 s; the standby was asked %d times", s.asked.Load())
}
