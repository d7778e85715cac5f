package runner

import (
	"strings"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// batchRoute returns the route that decides where and how the work of a batch under
// a path runs. The manifest in force comes first, with what was promised when the
// batch was accepted. A batch whose route is gone from it runs under the route of
// its acceptance: an accepted batch ends only by its trainer or by its time limit.
func (r *Runner) batchRoute(b *batch.Batch, path string) (manifest.Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	accepted, known := b.Routes.BatchRoute(b.Host, path)
	if m := r.seams.Manifest(); m != nil {
		if current, found := m.BatchRoute(b.Host, path); found {
			return current.WithPromises(accepted), true
		}
	}
	return accepted, known
}

// scoringRoute returns the route of a scoring call: the one in force, or that of the
// acceptance of the batch if it is gone.
func (r *Runner) scoringRoute(b *batch.Batch, reward *batch.Reward) (manifest.Route, bool) {
	path, _, _ := strings.Cut(reward.Path, "?")
	if m := r.seams.Manifest(); m != nil {
		if current, found := m.Route(reward.Host, path); found {
			return current, true
		}
	}
	return b.Routes.Route(reward.Host, path)
}
