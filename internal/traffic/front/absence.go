package front

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// The histograms of answers that tell a caller "there is nothing", by whether the store
// was read directly or through a peer: the age of the read when the answer is written,
// and the time that the write takes.
const (
	histogramAbsenceAge   = "absence_age_ms"
	histogramAbsenceWrite = "absence_write_ms"
	labelPeer             = "peer"
)

// absence is an answer that tells a caller "there is nothing": an empty list of results
// at a position, or 404 for a batch.
type absence struct {
	status   int
	batch    string
	position int
	proof    batch.Proof
}

// absenceOf returns the absence that a refused call about a batch tells, if err is one.
func absenceOf(q *callerRequest, err error) (absence, bool) {
	var missing *batch.MissingError
	if !errors.As(err, &missing) {
		return absence{}, false
	}
	position, _ := resultPosition(q) // 0 for a call that has none
	return absence{status: http.StatusNotFound, batch: q.batch, position: position, proof: missing.Proof}, true
}

// resultPosition returns the position from which a call reads results.
func resultPosition(q *callerRequest) (int, error) {
	query, err := url.ParseQuery(q.query)
	if err != nil {
		return 0, err
	}
	text := query.Get("after")
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// writeAbsence writes an answer without results or batch, and reports the age of its
// proof. The answer is flushed, so that it does not wait for the end of the handler.
func (f *Front) writeAbsence(w http.ResponseWriter, a absence, write func()) {
	age := f.seams.Reader.Age(a.proof)
	write()
	_ = http.NewResponseController(w).Flush() // fails only if the caller is gone
	f.reportAbsence(a, age, f.seams.Reader.Age(a.proof))
}

func (f *Front) reportAbsence(a absence, age, written time.Duration) {
	fields := logrus.Fields{
		"batch": a.batch, "position": a.position, "status": a.status,
		"source": a.proof.Source, "known": a.proof.Known,
	}
	if !a.proof.Lasting() {
		label := records.PathDirect
		if a.proof.Path != records.PathDirect {
			label = labelPeer
		}
		f.absenceAge.Record(label, age.Milliseconds())
		f.absenceWrite.Record(label, (written - age).Milliseconds())
		fields["path"], fields["age_ms"], fields["written_age_ms"] = a.proof.Path, age.Milliseconds(), written.Milliseconds()
	}
	f.log.WithFields(fields).Info("answer without results")
}

// refuseBatch refuses a call about a batch.
func (f *Front) refuseBatch(w http.ResponseWriter, q *callerRequest, cause, answer error) {
	a, found := absenceOf(q, cause)
	if !found {
		f.refuse(w, q, answer)
		return
	}
	f.writeAbsence(w, a, func() { f.refuse(w, q, answer) })
}
