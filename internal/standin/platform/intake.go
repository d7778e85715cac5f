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

const maxReportBytes = 64 << 20

// report is a usage report received for a window. Kept marks the accepted one.
type report struct {
	Body   string `json:"body"`
	Fence  uint64 `json:"fence"`
	Holder string `json:"holder"`
	AtMS   int64  `json:"at_ms"`
	Kept   bool   `json:"kept"`
}

// intake accepts the first report of each window and logs all reports received.
type intake struct {
	mu      sync.Mutex
	windows map[string][]report
	// fence is the highest fencing token received.
	fence uint64
}

func newIntake() *intake { return &intake{windows: map[string][]report{}} }

func (i *intake) reports() any {
	i.mu.Lock()
	defer i.mu.Unlock()
	copied := map[string][]report{}
	for window, all := range i.windows {
		copied[window] = all
	}
	return map[string]any{"windows": copied}
}

// receive logs a report and returns the HTTP status of the response: 200 for a
// window's first report and its repetitions, 409 for one with another body or,
// with checkFence, with an older fencing token.
func (i *intake) receive(window string, r report, checkFence bool) int {
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
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReportBytes))
	if err != nil {
		codec.WriteError(w, code.New(code.BodyTooLarge, "the report exceeds %d bytes", maxReportBytes))
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get("Wigeonpin-Fence"), 10, 64)
	if err != nil {
		codec.WriteError(w, code.New(code.BadRequest, "header Wigeonpin-Fence has value %q, must be a number", r.Header.Get("Wigeonpin-Fence")))
		return
	}
	status := p.intake.receive(mux.Vars(r)["window"], report{
		Body: string(raw), Fence: fence, Holder: r.Header.Get("Wigeonpin-Holder"), AtMS: time.Now().UnixMilli(),
	}, p.fenceCheck.On())
	codec.Write(w, status, struct{}{})
}
