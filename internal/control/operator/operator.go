// Package operator serves the operators' HTTP API: it returns the
// configuration table and the state of the instance, accepts edits of rows and
// starts the planned shutdown.
//
// # Usage
//
//	handler := operator.New(settings.OperatorDigest, operator.Seams{
//		Table: conf.Table, Edit: conf.Edit, Status: status, Drain: drain,
//	}, log)
//	http.Serve(listener, handler)
//
// Every request must carry the operator key in the header "Authorization:
// Bearer KEY". The settings hold only the key's SHA-256.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/config"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// maxEditBytes is the maximum size of an edit's body. The largest row fits.
const maxEditBytes = 128 << 10

// Seams are the functions that the handlers need.
type Seams struct {
	Table func() *table.Table
	Edit  func(ctx context.Context, editID string, row table.Row) (config.EditResult, error)
	// Status returns the state of the instance, ready for JSON encoding.
	Status func() any
	// Drain starts the planned shutdown and returns at once.
	Drain func()
}

type handlers struct {
	digest string
	seams  Seams
	log    *logrus.Entry
}

// New returns the handler of the operator API. digest is the SHA-256 of the
// operator key in hexadecimal.
func New(digest string, seams Seams, log *logrus.Entry) http.Handler {
	h := &handlers{digest: strings.ToLower(digest), seams: seams, log: log}
	r := mux.NewRouter()
	r.HandleFunc("/v1/table", h.table).Methods(http.MethodGet)
	r.HandleFunc("/v1/edits", h.edit).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", h.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/drain", h.drain).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(unknownRoute)
	r.MethodNotAllowedHandler = http.HandlerFunc(badMethod)
	return h.requireKey(r)
}

func unknownRoute(w http.ResponseWriter, r *http.Request) {
	codec.WriteError(w, code.New(code.UnknownRoute, "no route has the path %q", r.URL.Path).WithRun(code.NotRun))
}

func badMethod(w http.ResponseWriter, r *http.Request) {
	codec.WriteError(w, code.New(code.BadMethod, "%s does not take %s", r.URL.Path, r.Method).WithRun(code.NotRun))
}

func (h *handlers) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || key == "" {
			codec.WriteError(w, code.New(code.KeyMissing, "the operator key is missing").WithRun(code.NotRun))
			return
		}
		sum := sha256.Sum256([]byte(key))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(h.digest)) != 1 {
			codec.WriteError(w, code.New(code.KeyUnknown, "the operator key is wrong").WithRun(code.NotRun))
			return
		}
		next.ServeHTTP(w, r)
	})
}

type tableBody struct {
	Sequence uint64      `json:"sequence"`
	Rows     []table.Row `json:"rows"`
}

func (h *handlers) table(w http.ResponseWriter, _ *http.Request) {
	t := h.seams.Table()
	codec.Write(w, http.StatusOK, tableBody{Sequence: t.Sequence(), Rows: t.Rows()})
}

type editBody struct {
	EditID string    `json:"edit_id"`
	Row    table.Row `json:"row"`
}

// conflictBody is the response to an edit that lost to a concurrent edit of the
// same row. Row is the winning row.
type conflictBody struct {
	Code    int       `json:"code"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Run     string    `json:"run"`
	Row     table.Row `json:"row"`
}

func (h *handlers) edit(w http.ResponseWriter, r *http.Request) {
	body, err := codec.Read[editBody](r, maxEditBytes)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	accepted, err := h.seams.Edit(r.Context(), body.EditID, body.Row)
	if code.Is(err, code.EditConflict) {
		coded := code.Of(err)
		codec.Write(w, coded.Code.Status(), conflictBody{
			Code: int(coded.Code), Name: coded.Code.String(), Message: coded.Message,
			Run: string(coded.Run), Row: accepted.Row,
		})
		return
	}
	if err != nil {
		h.log.WithField(logs.Code, int(code.Of(err).Code)).WithField("row", body.Row.Table+"/"+body.Row.Name).
			Info("edit not accepted")
		codec.WriteError(w, err)
		return
	}
	codec.Write(w, http.StatusOK, accepted)
}

func (h *handlers) status(w http.ResponseWriter, _ *http.Request) {
	codec.Write(w, http.StatusOK, h.seams.Status())
}

type drainBody struct {
	Draining bool `json:"draining"`
}

func (h *handlers) drain(w http.ResponseWriter, _ *http.Request) {
	h.log.Info("planned shutdown requested")
	h.seams.Drain()
	codec.Write(w, http.StatusAccepted, drainBody{Draining: true})
}
