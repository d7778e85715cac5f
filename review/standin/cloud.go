package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// dutyCall is a received usage report.
type dutyCall struct {
	holder string
	epoch  uint64
	window int64
	at     time.Time
}

// cloud is a stand-in of the receiver of usage reports.
type cloud struct {
	record *record
	mu     sync.Mutex
	calls  []dutyCall
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		WindowNumber int64 `json:"windowNumber"`
	}
	epoch, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := dutyCall{r.Header.Get("Duty-Holder"), epoch, in.WindowNumber, time.Now()}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.record.log("usage report: holder %s, epoch %d, window %d", call.holder, call.epoch, call.window)
	answer(w, http.StatusOK, nil)
}

func (c *cloud) all() []dutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]dutyCall(nil), c.calls...)
}
