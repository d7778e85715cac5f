package engine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

// maxLoadedVersions is the number of versions that fit into an engine's memory.
const maxLoadedVersions = 2

// versions is the state of the engine's weight versions.
type versions struct {
	active  int
	loaded  []int
	loading int
	// fences holds the highest fencing token of each trainer's lease.
	fences        map[string]uint64
	silentFailure bool
}

// restart drops all loaded versions except the one that the engine starts with.
func (v *versions) restart(version int) { v.active, v.loaded, v.loading = version, []int{version}, 0 }

type versionBody struct {
	Action  string `json:"action"`
	Trainer string `json:"trainer"`
	Version int    `json:"version"`
	Fence   uint64 `json:"fence"`
	Holder  string `json:"holder"`
}

type versionState struct {
	Active  int   `json:"active"`
	Loaded  []int `json:"loaded"`
	Loading int   `json:"loading"`
}

func (e *Engine) versionState() versionState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return versionState{e.versions.active, slices.Clone(e.versions.loaded), e.versions.loading}
}

func (e *Engine) showVersions(w http.ResponseWriter, _ *http.Request) {
	codec.Write(w, http.StatusOK, e.versionState())
}

func (e *Engine) changeVersion(w http.ResponseWriter, r *http.Request) {
	b, err := codec.Read[versionBody](r, host.BodyLimit)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	if !e.acceptFence(b.Trainer, b.Fence) {
		codec.WriteError(w, code.New(code.LeaseLost, "fence %d is older than an earlier one", b.Fence))
		return
	}
	if failed, silent := e.takeFailure(b.Action); failed {
		if !silent {
			codec.Write(w, http.StatusInternalServerError, map[string]string{"message": "the swap failed"})
			return
		}
		codec.Write(w, http.StatusOK, e.versionState())
		return
	}
	switch b.Action {
	case "load":
		e.loadVersion(w, r, b)
	case "switch":
		e.switchVersion(w, b)
	default:
		codec.WriteError(w, code.New(code.BadRequest, "field \"action\" has value %q, must be load or switch", b.Action))
	}
}

// acceptFence records the fencing token of a trainer's lease. It returns false if
// tokens are checked and an earlier request had a higher one.
func (e *Engine) acceptFence(trainer string, fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckFence && fence < e.versions.fences[trainer] {
		return false
	}
	e.versions.fences[trainer] = max(e.versions.fences[trainer], fence)
	return true
}

// takeFailure reports whether this version change must fail, and whether silently.
// It uses up one of the failures that the switch failswap requested.
func (e *Engine) takeFailure(action string) (failed, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failuresLeft[action] == 0 {
		return false, false
	}
	e.failuresLeft[action]--
	return true, e.versions.silentFailure
}

// loadVersion responds once the version is loaded. If the weight store refuses
// the version, its status is passed on, such as 404 or 429.
func (e *Engine) loadVersion(w http.ResponseWriter, r *http.Request, b versionBody) {
	e.mu.Lock()
	done := slices.Contains(e.versions.loaded, b.Version)
	if !done {
		e.versions.loading = b.Version
	}
	e.mu.Unlock()
	if !done {
		defer e.stopLoading(b.Version)
		if status := e.fetchWeights(r.Context(), b); status != http.StatusOK {
			w.Header().Set("Retry-After", "1")
			codec.Write(w, status, map[string]string{"message": "the weight store refused the version"})
			return
		}
		timer := time.NewTimer(e.options.LoadTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		e.addLoaded(b.Version)
	}
	codec.Write(w, http.StatusOK, e.versionState())
}

func (e *Engine) stopLoading(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.versions.loading == version {
		e.versions.loading = 0
	}
}

// addLoaded adds a loaded version and drops the oldest inactive ones that do not
// fit into memory.
func (e *Engine) addLoaded(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := &e.versions
	if v.loading == version {
		v.loading = 0
	}
	if !slices.Contains(v.loaded, version) {
		v.loaded = append(v.loaded, version)
	}
	for i := 0; len(v.loaded) > maxLoadedVersions && i < len(v.loaded); {
		if v.loaded[i] != v.active && v.loaded[i] != version {
			v.loaded = slices.Delete(v.loaded, i, i+1)
		} else {
			i++
		}
	}
}

// fetchWeights downloads a version from the weight store and returns the status.
func (e *Engine) fetchWeights(ctx context.Context, b versionBody) int {
	if e.options.WeightStore == "" {
		return http.StatusOK
	}
	url := fmt.Sprintf("http://%s/v1/weights/%s/%d", e.options.WeightStore, b.Trainer, b.Version)
	if _, err := codec.Exchange(ctx, e.client, http.MethodGet, url, nil, nil); err != nil {
		if status := codec.StatusOf(err); status != 0 {
			return status
		}
		return http.StatusBadGateway
	}
	return http.StatusOK
}

func (e *Engine) switchVersion(w http.ResponseWriter, b versionBody) {
	e.mu.Lock()
	ok := slices.Contains(e.versions.loaded, b.Version)
	if ok {
		e.versions.active = b.Version
	}
	e.mu.Unlock()
	if !ok {
		codec.WriteError(w, code.New(code.EditConflict, "version %d is not loaded", b.Version))
		return
	}
	codec.Write(w, http.StatusOK, e.versionState())
}

type roleBody struct {
	Role string `json:"role"`
}

func (e *Engine) setRole(w http.ResponseWriter, r *http.Request) {
	b, err := codec.Read[roleBody](r, host.BodyLimit)
	if err == nil && !slices.Contains([]string{"both", "prefill", "decode"}, b.Role) {
		err = code.New(code.BadRequest, "field \"role\" has value %q, must be both, prefill or decode", b.Role)
	}
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	e.mu.Lock()
	e.role = b.Role
	e.mu.Unlock()
	codec.Write(w, http.StatusOK, b)
}

type adaptersBody struct {
	Adapters []string `json:"adapters"`
}

func (e *Engine) setAdapters(w http.ResponseWriter, r *http.Request) {
	b, err := codec.Read[adaptersBody](r, host.BodyLimit)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	e.mu.Lock()
	e.adapters = b.Adapters
	e.mu.Unlock()
	codec.Write(w, http.StatusOK, b)
}

type kvBody struct {
	Request string   `json:"request"`
	Blocks  []string `json:"blocks"`
}

// exportKV responds with the names of the KV blocks that a request holds.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	b, err := codec.Read[kvBody](r, host.BodyLimit)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	e.mu.Lock()
	s, ok := e.streams[b.Request]
	e.mu.Unlock()
	if !ok {
		codec.WriteError(w, code.New(code.MissingObject, "request %q is not running", b.Request))
		return
	}
	codec.Write(w, http.StatusOK, kvBody{b.Request, Prefixes(s.body.Prompt)})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	b, err := codec.Read[kvBody](r, host.BodyLimit)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	e.mu.Lock()
	for _, name := range b.Blocks {
		e.cache.blocks.Add(name, struct{}{})
	}
	e.mu.Unlock()
	codec.Write(w, http.StatusOK, struct{}{})
}
