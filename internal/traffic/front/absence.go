package front

import (
	"context"
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

// countLate counts the answers without results that were not given since their proof was
// too old, by lateRepeated or lateRefused.
const (
	countLate    = "late_proofs"
	lateRepeated = "repeated"
	lateRefused  = "refused"
)

const (
	// maxProofs is the number of reads of the store after which a call is refused whose
	// answers were all too old.
	maxProofs = 3
	// lateRetryAfter is the Retry-After delay after such a call.
	lateRetryAfter = 200 * time.Millisecond
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

// writeAbsence writes an answer without results or batch, unless its proof is too old; it
// reports false then, and the call is to be served again. The check is the last step
// before the write. The answer is flushed, so that it does not wait for the end of the
// handler, and is not sent again to a caller that does not acknowledge it within the rest
// of the settle time.
func (f *Front) writeAbsence(ctx context.Context, w http.ResponseWriter, a absence, write func()) bool {
	if !f.seams.Reader.Holds(a.proof) {
		return false
	}
	if left := f.seams.Reader.Left(a.proof); left > 0 {
		f.seams.LimitDelivery(ctx, left)
	}
	age := f.seams.Reader.Age(a.proof)
	write()
	_ = http.NewResponseController(w).Flush() // fails only if the caller is gone
	f.reportAbsence(a, age, f.seams.Reader.Age(a.proof))
	return true
}

// serveProved serves a call until its answer does not rest on a proof that is too old.
// Once there is no time for another read, the answer is the refusal.
func (f *Front) serveProved(ctx context.Context, w http.ResponseWriter, q *callerRequest, refusal error, serve func() bool) {
	for attempt := 1; !serve(); attempt++ {
		if attempt == maxProofs || ctx.Err() != nil || !f.timers.Now().Before(q.deadline) {
			f.late.Add(lateRefused, 1)
			f.refuse(w, q, refusal)
			return
		}
		f.late.Add(lateRepeated, 1)
	}
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

// refuseBatch refuses a call about a batch. It reports false if the refusal tells that
// the batch does not exist and its proof is too old.
func (f *Front) refuseBatch(ctx context.Context, w http.ResponseWriter, q *callerRequest, cause, answer error) bool {
	a, found := absenceOf(q, cause)
	if !found {
		f.refuse(w, q, answer)
		return true
	}
	return f.writeAbsence(ctx, w, a, func() { f.refuse(w, q, answer) })
}
