package runner

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/share"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// scoringTimeout bounds the attempts of a scoring call, counted from the end of the time
// that it may wait for headroom.
const scoringTimeout = 4 * time.Second

// maxScoringHold bounds how long a scoring call whose content crashed endpoints waits for its
// next trial. A sound call is repeated at once after each crash of an endpoint, and so meets
// several of them more easily than a caller's request; its result is owed.
const maxScoringHold = 6 * time.Second

// startScoring starts the scoring call for a complete text. A text that mixes
// weight versions is discarded instead if the route wants a single one.
func (r *Runner) startScoring(t *task) {
	if route, found := r.batchRoute(t.job.batch, t.item.Path); found && route.SingleVersion && len(t.text.versions) > 1 {
		t.text = text{}
		return
	}
	t.state = stateScoring
	result := batch.Result{
		ID: t.item.ID, Done: true,
		Output: strings.Join(t.text.pieces, "\n"), Versions: t.text.versions,
	}
	if t.item.Reward == nil {
		r.completeItem(t, result)
		return
	}
	jobCtx, due := t.job.ctx, t.job.dueAt()
	go func() {
		answer, err := r.callScorer(jobCtx, t.job.batch, t.item.Reward, due)
		r.post(jobCtx, func(context.Context) {
			if jobCtx.Err() == nil {
				r.scoringFinished(t, result, answer, err)
			}
		})
	}()
}

// dueAt returns when the results of the batch are due, or the zero time.
func (j *job) dueAt() time.Time {
	if j.schedule.Due <= 0 {
		return time.Time{}
	}
	return j.schedule.Accepted.Add(j.schedule.Due)
}

// callScorer makes the scoring call of an item of a batch that is due at the given time,
// and returns its answer. The call is not urgent: it waits for headroom as long as that
// does not make the item late.
func (r *Runner) callScorer(ctx context.Context, b *batch.Batch, reward *batch.Reward, due time.Time) (*forward.Answer, error) {
	route, found := r.scoringRoute(b, reward)
	if !found {
		return nil, errors.New("no route for the scoring call")
	}
	names, service := r.seams.Names, route.SelectService(rand.Float64())
	usual := cmp.Or(r.seams.Forwarder.Work(asIdempotent(route), service), route.TargetLatency)
	urgent := share.Limit(r.timers.Now(), due, usual, rand.Float64())
	answer, err := r.seams.Forwarder.Send(ctx, forward.Call{
		ID: reward.ID, Route: asIdempotent(route), Service: service,
		Urgent: urgent, Deadline: urgent.Add(scoringTimeout), MaxHold: maxScoringHold,
		Request: exchange.Request{
			Method: http.MethodPost, Host: reward.Host, Body: reward.Body,
			Header: http.Header{http.CanonicalHeaderKey(names.Request): {reward.ID}},
		}.WithTarget(reward.Path),
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if answer.Rest != nil {
		answer.Abort()
		return nil, errLongScoringAnswer
	}
	return answer, nil
}

// heldFor returns how long the content of a scoring call is held back since it crashed
// endpoints, or 0.
func heldFor(err error) time.Duration {
	if err == nil || !code.Is(err, code.ContentHeld) {
		return 0
	}
	return code.Of(err).RetryAfter
}

// errLongScoringAnswer is returned for a scoring answer that was not read to its
// end. Its stamp alone does not prove that the scoring was completed.
var errLongScoringAnswer = errors.New("the answer to the scoring call is too long")

// asIdempotent returns the route with the kind Idempotent, since scoring calls
// may be repeated.
func asIdempotent(route manifest.Route) manifest.Route {
	route.Kind = manifest.Idempotent
	return route
}

// scoringFinished handles the end of a scoring call: the item is completed,
// scored again or given up.
func (r *Runner) scoringFinished(t *task, result batch.Result, answer *forward.Answer, err error) {
	if t.state != stateScoring {
		return
	}
	names := r.seams.Names
	if err == nil && answer.Status < 300 {
		result.Score = answer.Header.Get(names.Stamp)
		r.completeItem(t, result)
		return
	}
	t.state = statePending
	t.scoringFailures++
	t.notBefore = r.timers.Now().Add(max(retryDelay(t.scoringFailures), heldFor(err)))
	r.counters.scoringFailures.Add(t.item.Reward.Host, 1)
	cause := "unexpected status"
	if err != nil {
		cause = err.Error()
	} else {
		t.scoringErrors += answer.ServerErrors
	}
	r.log.WithFields(logrus.Fields{
		logs.Request: t.item.ID, "batch": t.job.batch.ID, logs.Cause: cause, "errors": t.scoringErrors,
	}).Info("scoring failed")
	if route, found := r.scoringRoute(t.job.batch, t.item.Reward); found && t.scoringErrors >= route.Attempts {
		r.giveUp(t, "scoring call answered with status 500")
	}
}
