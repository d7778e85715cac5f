package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

const (
	maxValueBytes = 1 << 20
	maxWait       = time.Minute
)

// objectPath returns the kind and name in the path.
func objectPath(r *http.Request) (kind, name string) {
	v := mux.Vars(r)
	kind, _ = url.PathUnescape(v["kind"])
	name, _ = url.PathUnescape(v["name"])
	return kind, name
}

// queryNumber returns a non-negative number of the query; 0 if it is missing.
func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, code.New(code.BadRequest, "query %q has value %q, must be a number", name, text)
	}
	return n, nil
}

// queryWait returns the wait time of the query, at most maxWait.
func queryWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 {
		return 0, code.New(code.BadRequest, "query \"wait\" has value %q, must be a number of seconds", text)
	}
	return min(time.Duration(seconds*float64(time.Second)), maxWait), nil
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	kind, _ := objectPath(r)
	after, err := queryNumber(r, "after")
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	wait, err := queryWait(r)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	codec.Write(w, http.StatusOK, p.objects.watch(r.Context(), kind, after, wait))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	kind, name := objectPath(r)
	o, ok := p.objects.get(kind, name)
	if !ok {
		codec.WriteError(w, code.New(code.MissingObject, "object %s/%s does not exist", kind, name))
		return
	}
	codec.Write(w, http.StatusOK, o)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		codec.WriteError(w, code.New(code.BodyTooLarge, "the value exceeds %d bytes", maxValueBytes))
		return
	}
	var value bytes.Buffer
	if err := json.Compact(&value, raw); err != nil {
		codec.WriteError(w, code.New(code.BadRequest, "the value is not valid JSON: %s", err))
		return
	}
	p.update(w, r, value.Bytes(), false)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) { p.update(w, r, nil, true) }

func (p *Platform) update(w http.ResponseWriter, r *http.Request, value json.RawMessage, remove bool) {
	if !r.URL.Query().Has("if") {
		codec.WriteError(w, code.New(code.BadRequest, "query \"if\" is missing, must be the expected revision"))
		return
	}
	expected, err := queryNumber(r, "if")
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	kind, name := objectPath(r)
	o, ok := p.objects.update(kind, name, expected, value, remove)
	if !ok {
		codec.Write(w, http.StatusConflict, o)
		return
	}
	codec.Write(w, http.StatusOK, o)
}
