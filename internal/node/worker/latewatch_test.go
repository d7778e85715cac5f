package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

// Guards against results that are missing (LOST) since a worker takes the role before
// its watch tells of a batch that the former holder has already written pages of. To
// the runner such a batch was a fresh one, whose pages are not read.
func TestBatchKnownLateKeepsItsPages(t *testing.T) {
	l := ledger.New()
	store := l.Store()
	ctx, cancel := context.WithCancel(context.Background())
	batches := batch.NewStore(store, 1<<20)
	accept := func(id string) {
		t.Helper()
		b := &batch.Batch{ID: id, Account: "acme", Host: "h", Model: "m", MinVersion: 1, Time: time.Now(), Items: []batch.Item{{ID: id + "-1", Path: "/gen/x"}}}
		if err := batches.Accept(ctx, b); err != nil {
			t.Fatal(err)
		}
	}
	accept("listed")
	for _, r := range []records.Record{
		{Kind: "config", Name: "main"},
		{Kind: "leases", Name: "worker", Body: []byte(`{"holder":"former","epoch":1}`)},
	} {
		if _, err := store.Create(ctx, r); err != nil {
			t.Fatal(err)
		}
	}
	watching, watchEnds := make(chan struct{}, 1), make(chan struct{})
	late := store
	late.Watch = func(ctx context.Context, kind string, after uint64, wait time.Duration) (records.Changes, error) {
		if kind == batch.KindBatches {
			select {
			case watching <- struct{}{}:
			default:
			}
			select {
			case <-watchEnds:
			case <-ctx.Done():
			}
		}
		return store.Watch(ctx, kind, after, wait)
	}
	w := New(profile.Profile{Name: "w1", Zone: "a"}.WithDefaults(), Dependencies{
		Store: late, PeersSynced: func() bool { return true }, ExpirePeers: func(context.Context, func() bool) {}, Peers: func() []string { return nil },
		Formats: view.Formats{
			ManifestKind: "config", ManifestName: "main", EndpointKind: "endpoints", ZoneKind: "zones",
			Manifest: func(records.Record) (*manifest.Manifest, error) {
				route := manifest.Route{Host: "h", Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 2, ItemTimeout: time.Minute, Targets: []manifest.Target{{Service: "llm", Weight: 1}}}
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
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	mux := http.NewServeMux()
	w.Mount(ctx, mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	peers := func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} }
	await := func(what string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not within 20 s: %s", what)
			}
		}
	}

	<-watching
	accept("late")
	page := batch.Page{Results: []batch.Result{{ID: "late-1", Done: true, Output: "of the former holder"}}}
	if err := batches.Append(ctx, "late", 0, page); err != nil {
		t.Fatal(err)
	}
	workers := runner.NewWorkers(peers)
	await("the worker runs the batches", func() bool { return workers.Follow(ctx, "listed", 0, 0).Active })
	close(watchEnds)
	await("the worker knows the late batch", func() bool {
		_, known := workers.Find(ctx, "late")
		return known
	})
	workers = runner.NewWorkers(peers)
	seams := batch.ReaderSeams{Store: batches, Find: workers.Find, Follow: workers.Follow}
	reader := batch.NewReader(seams, clock.NewSystem(), logs.Discard())
	results, _, err := reader.Results(ctx, "late", 0, 0)
	if err != nil || len(results) != 1 || results[0].ID != "late-1" {
		t.Errorf("results %+v, error %v; want the result of the former holder, which the store has", results, err)
	}
}
