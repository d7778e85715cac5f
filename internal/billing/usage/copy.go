package usage

import (
	"context"
	"errors"
	"maps"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

const (
	// failureCooldown is how long an instance that failed to take a copy is asked
	// only after all others.
	failureCooldown = 5 * time.Second
	// attemptLimit is the number of instances asked in one commit.
	attemptLimit = 3
	// entriesPerCall bounds the size of one copy call; a new holder gets
	// everything unsealed in several calls.
	entriesPerCall = 4096
	// unreplicatedInterval bounds the objects that an instance without a second holder
	// writes.
	unreplicatedInterval = time.Second
)

func newHoldCall(client *http.Client) func(context.Context, member.Instance, *HoldRequest) (*HoldResponse, error) {
	return func(ctx context.Context, to member.Instance, request *HoldRequest) (*HoldResponse, error) {
		return NewCopiesProtobufClient(fleet.URL(to.Peer), client).Hold(ctx, request)
	}
}

// commit brings the second copy up to date: at the current holder, otherwise at
// another instance, otherwise in the data folder. It reports whether one of
// them has everything.
func (l *Log) commit(ctx context.Context) bool {
	for range attemptLimit {
		target, ok := l.chooseHolder()
		if !ok && l.folder == nil {
			return l.sealUnreplicated(ctx)
		}
		if !ok {
			break
		}
		err := l.copyTo(ctx, target)
		if err == nil {
			return true
		}
		l.log.WithField(logs.Peer, target.ID).WithField(logs.Cause, err.Error()).Debug("usage copy failed")
		l.mu.Lock()
		l.failedAt[target.ID] = l.timers.Now()
		l.target, l.confirmed = "", 0
		l.mu.Unlock()
	}
	if l.folder != nil {
		return l.commitToFolder()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tail.entries) == 0
}

// sealUnreplicated seals the records of an instance that is the only live one, the
// window under way included: acknowledged records whose holders died one after
// another would otherwise be lost with it. It reports whether none is left.
func (l *Log) sealUnreplicated(ctx context.Context) bool {
	l.mu.Lock()
	empty, due := len(l.tail.entries) == 0, l.timers.Since(l.unreplicatedAt) >= unreplicatedInterval
	if !empty && due {
		l.unreplicatedAt = l.timers.Now()
	}
	l.mu.Unlock()
	if empty || !due {
		return empty
	}
	l.sealMu.Lock()
	defer l.sealMu.Unlock()
	if err := l.sealOwn(ctx, math.MaxInt64); err != nil {
		l.log.WithField(logs.Cause, err.Error()).Warn("usage records have no second holder and could not be sealed")
		return false
	}
	return true
}

// chooseHolder returns the instance that takes the copies: one that did not fail
// lately, is not leaving and is in another zone, as far as there is one. The
// current one is kept unless a better one is there.
func (l *Log) chooseHolder() (member.Instance, bool) {
	view := l.seams.View()
	now := l.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	best, listed := view.Instance(l.target)
	// Ranking hashes all members, so it is not repeated for every commit.
	if listed && view == l.chosenView && now.Sub(l.chosenAt) < failureCooldown {
		return best, true
	}
	l.chosenView, l.chosenAt = view, now
	maps.DeleteFunc(l.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) > failureCooldown })
	bestRank := -1
	if listed {
		bestRank = l.rank(best)
	}
	for _, id := range member.Rank(l.settings.ID, view.IDs()) {
		candidate, _ := view.Instance(id)
		if rank := l.rank(candidate); rank > bestRank {
			best, bestRank = candidate, rank
		}
	}
	if best.ID != l.target {
		l.target, l.confirmed = best.ID, 0
	}
	return best, bestRank >= 0
}

func (l *Log) rank(candidate member.Instance) int {
	if candidate.ID == l.settings.ID {
		return -1
	}
	rank := 0
	if _, failed := l.failedAt[candidate.ID]; !failed {
		rank += 4
	}
	if candidate.State == member.StateLive {
		rank += 2
	}
	if candidate.Zone != l.settings.Zone {
		rank++
	}
	return rank
}

// copyTo sends what the target does not have and, with no new records, asks it
// to confirm that it still has the rest.
func (l *Log) copyTo(ctx context.Context, target member.Instance) error {
	for request := l.nextRequest(); request != nil; request = l.nextRequest() {
		callCtx, cancel := l.timers.WithTimeout(ctx, setting.Milliseconds(l.settings.CopyMS)/2)
		response, err := l.seams.Hold(callCtx, target, request)
		cancel()
		if ctx.Err() == nil {
			l.seams.Report(target.ID, answered(err), fleet.Refused(err))
		}
		if err != nil {
			return eris.Wrap(err, "hold")
		}
		if len(request.Entries) > 0 && response.Through == request.From-1 {
			return eris.Errorf("%s took nothing after index %d", target.ID, response.Through)
		}
		l.copies.Add("", 1)
		if l.noteConfirmed(request, response.Through) {
			return nil
		}
	}
	return nil
}

// answered reports whether the instance answered, be it that it has no room.
func answered(err error) bool {
	var coded twirp.Error
	return err == nil || (errors.As(err, &coded) && coded.Code() == twirp.ResourceExhausted)
}

// nextRequest returns the next copy call, or nil when the target needs none.
func (l *Log) nextRequest() *HoldRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tail
	if len(t.entries) == 0 && (l.confirmed == 0 || l.sentBase == t.base) {
		return nil
	}
	from := max(t.base, l.confirmed+1)
	end := min(t.through()+1, from+entriesPerCall)
	request := &HoldRequest{Owner: t.owner, Incarnation: t.incarnation, Base: t.base, From: from}
	for _, e := range t.entries[from-t.base : end-t.base] {
		request.Entries = append(request.Entries, toProto(e))
	}
	return request
}

// noteConfirmed notes what the target holds after a call and reports whether that is
// everything the call was to bring about.
func (l *Log) noteConfirmed(request *HoldRequest, through uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed, l.sentBase = through, request.Base
	if through+1 >= request.From {
		l.acknowledge(through)
	}
	return through+1 >= request.From+uint64(len(request.Entries)) && len(request.Entries) < entriesPerCall
}

func (l *Log) commitToFolder() bool {
	l.mu.Lock()
	t := l.tail
	l.mu.Unlock()
	through, err := l.folder.append(t)
	if err != nil {
		l.log.WithField(logs.Cause, err.Error()).Error("usage records could not be written to the data folder")
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledge(through)
	return true
}

func toProto(e entry) *Entry {
	r := e.record
	return &Entry{
		Window: e.window, Account: r.Account, Class: r.Class, Requests: r.Requests,
		TokensIn: r.TokensIn, TokensOut: r.TokensOut, Cost: r.Cost,
	}
}

func fromProto(e *Entry) entry {
	return entry{e.Window, Record{
		Account: e.Account, Class: e.Class, Requests: e.Requests,
		TokensIn: e.TokensIn, TokensOut: e.TokensOut, Cost: e.Cost,
	}}
}
