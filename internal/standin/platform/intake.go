package platform

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

const reportLimit = 64 << 20

// report is one body that came for a window.
type report struct {
	Body   string `json:"body"`
	Fence  uint64 `json:"fence"`
	Holder string `json:"holder"`
	AtMS   int64  `json:"at_ms"`
	Kept   bool   `json:"kept"`
}

// intake keeps the first body of each window and notes all that came.
type intake struct {
	mu      sync.Mutex
	windows map[string][]report
	fence   uint64
}

func newIntake() *intake { return &intake{windows: map[string][]report{}} }

func (i *intake) bodies() any {
	i.mu.Lock()
	defer i.mu.Unlock()
	copied := map[string][]report{}
	for window, all := range i.windows {
		copied[window] = all
	}
	return map[string]any{"windows": copied}
}

// take notes a body and returns 200 for the first one and for its repetitions,
// and 409 for other figures or, with checkFence, for an older fencing token.
func (i *intake) take(window string, r report, checkFence bool) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	status := http.StatusOK
	all := i.windows[window]
	switch {
	case checkFence && r.Fence < i.fence:
		status = http.StatusConflict
	case len(all) == 0:
		r.Kept = true
	case all[0].Body != r.Body:
		status = http.StatusConflict
	}
	i.fence = max(i.fence, r.Fence)
	i.windows[window] = append(all[:len(all):len(all)], r)
	return status
}

func (p *Platform) putUsage(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, reportLimit))
	if err != nil {
		codec.WriteError(w, code.New(code.BodyTooLarge, "the report exceeds %d bytes", reportLimit))
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get("Wigeonpin-Fence"), 10, 64)
	if err != nil {
		codec.WriteError(w, code.New(code.BadRequest, "header Wigeonpin-Fence has value %q, must be a number", r.Header.Get("Wigeonpin-Fence")))
		return
	}
	status := p.intake.take(mux.Vars(r)["window"], report{
		Body: string(raw), Fence: fence, Holder: r.Header.Get("Wigeonpin-Holder"), AtMS: time.Now().UnixMilli(),
	}, p.fenceCheck.On())
	codec.Write(w, status, struct{}{})
}
