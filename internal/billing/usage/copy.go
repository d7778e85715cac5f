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
	// failureCooldown is how long an instance that failed to store a copy is
	// chosen only if there is no other.
	failureCooldown = 5 * time.Second
	// attemptLimit is the number of instances tried in one commit.
	attemptLimit = 3
	// entriesPerCall bounds the size of one copy call. A new holder may need
	// several calls to receive all unsealed entries.
	entriesPerCall = 4096
	// unreplicatedInterval is the shortest time between two seals of an instance
	// without a second holder. It bounds the number of objects written.
	unreplicatedInterval = time.Second
)

// newHoldCall returns a function that calls Hold of an instance over client.
func newHoldCall(client *http.Client) func(context.Context, member.Instance, *HoldRequest) (*HoldResponse, error) {
	return func(ctx context.Context, to member.Instance, request *HoldRequest) (*HoldResponse, error) {
		return NewCopiesProtobufClient(fleet.URL(to.Peer), client).Hold(ctx, request)
	}
}

// commit brings the second copy up to date. It tries the current holder, then
// other instances, then the data folder. An instance that has neither a peer nor
// a data folder seals its records instead. commit reports whether every record
// has a second copy or is sealed.
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
		l.log.WithField(logs.Peer, target.ID).WithField(logs.Cause, err.Error()).Debug("usage records not copied to second holder")
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

// sealUnreplicated seals all records of an instance that has no peer, the current
// window included. Otherwise records that were acknowledged by holders which have
// since died would be lost if this instance dies too. It reports whether all are
// sealed.
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

// chooseHolder returns the instance that stores the copies. It prefers, in this
// order, an instance that has not failed within failureCooldown, one that is live
// rather than leaving, and one in another availability zone. The current holder
// is kept unless another one ranks higher.
func (l *Log) chooseHolder() (member.Instance, bool) {
	view := l.seams.View()
	now := l.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	best, listed := view.Instance(l.target)
	// member.Rank hashes all members, so the choice is kept for a while instead
	// of being repeated for every commit.
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

// rank returns how suitable a candidate is as holder, or -1 for the instance
// itself. The caller holds mu.
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

// copyTo sends the entries that the target does not have. If there are none, it
// asks the target to confirm that it still has the others.
func (l *Log) copyTo(ctx context.Context, target member.Instance) error {
	for request := l.nextRequest(); request != nil; request = l.nextRequest() {
		callCtx, cancel := l.timers.WithTimeout(ctx, setting.Milliseconds(l.settings.CopyMS)/2)
		response, err := l.seams.Hold(callCtx, target, request)
		cancel()
		if ctx.Err() == nil {
			l.seams.Report(target.ID, answered(err), fleet.IsConnRefused(err))
		}
		if err != nil {
			return eris.Wrap(err, "copy usage records")
		}
		if len(request.Entries) > 0 && response.Through == request.From-1 {
			return eris.Errorf("%s stored no entries after index %d", target.ID, response.Through)
		}
		l.copies.Add("", 1)
		if l.noteConfirmed(request, response.Through) {
			return nil
		}
	}
	return nil
}

// answered reports whether the instance answered. The answer may be that it
// holds too many records already.
func answered(err error) bool {
	var coded twirp.Error
	return err == nil || (errors.As(err, &coded) && coded.Code() == twirp.ResourceExhausted)
}

// nextRequest returns the next copy request, or nil if the target needs none.
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

// noteConfirmed records the index through which the target has a copy after a
// call. It reports whether copying is complete: the target has all entries of the
// request, and the request was not cut at entriesPerCall.
func (l *Log) noteConfirmed(request *HoldRequest, through uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed, l.sentBase = through, request.Base
	if through+1 >= request.From {
		l.acknowledge(through)
	}
	return through+1 >= request.From+uint64(len(request.Entries)) && len(request.Entries) < entriesPerCall
}

// commitToFolder writes the entries that have no second copy to the data folder.
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
