package share

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// Period is the time between two digests of a process with waiting requests.
	Period = time.Second
	// validPeriods is the number of periods for which a digest counts: one that is lost
	// or late does not change the order.
	validPeriods = 3
	// validity is how long a digest counts.
	validity = validPeriods * Period
	// maxDigests is about the number of digests in a period from all processes together.
	// Each process passes each of them on to 6 neighbours (of 55 processes) or 8 (of 360):
	// up to 72 or 96 calls a second. When more processes have waiting requests, each sends
	// in some periods only, and its digests stand for those of others.
	maxDigests = 12
	// timeToLive is how long a digest is passed on.
	timeToLive = 2 * Period
	// maxAccounts is the number of accounts in a digest, and minSlots the least work of
	// one of them. Smaller accounts hardly change the order.
	maxAccounts = 16
	minSlots    = 0.05
	// maxSlots, maxFactor and maxDigestBytes bound what a digest of a faulty process says.
	maxSlots       = 1e5
	maxFactor      = 1e4
	maxDigestBytes = 8 << 10
	// maxSenders bounds the number of digests that are kept.
	maxSenders = 4096
	// digestVersion is the version of the format. Others are ignored.
	digestVersion = 1
)

// Digest is what a process tells the others: the work that its largest accounts receive
// through it, in slots that they occupy all the time. Factor is the number of processes
// for which the digest stands. Run and Number order the digests of a process.
type Digest struct {
	Version int                `json:"v"`
	Run     int64              `json:"run"`
	Number  int64              `json:"number"`
	Factor  float64            `json:"factor"`
	Slots   map[string]float64 `json:"slots"`
}

var errDigest = errors.New("share: invalid digest")

// decodeDigest returns the digest, or an error if it cannot be used. Digests of other
// versions are errors too.
func decodeDigest(payload []byte) (Digest, error) {
	var d Digest
	if len(payload) > maxDigestBytes {
		return d, errDigest
	}
	if err := json.Unmarshal(payload, &d); err != nil {
		return d, err
	}
	if d.Version != digestVersion || !(d.Factor >= 1 && d.Factor <= maxFactor) || len(d.Slots) > maxAccounts {
		return d, errDigest
	}
	for _, slots := range d.Slots {
		if !(slots >= 0 && slots <= maxSlots) {
			return d, errDigest
		}
	}
	return d, nil
}

// largest returns the accounts that receive most.
func largest(received map[string]float64) map[string]float64 {
	names := slices.Collect(maps.Keys(received))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(received[b], received[a]), cmp.Compare(a, b))
	})
	kept, bytes := map[string]float64{}, 0
	for _, name := range names {
		if bytes += len(name); len(kept) == maxAccounts || received[name] < minSlots || bytes > maxDigestBytes/4 {
			break
		}
		kept[name] = math.Round(min(received[name], maxSlots)*1000) / 1000
	}
	return kept
}

// receivedDigest is the latest digest of another process, and when it came.
type receivedDigest struct {
	digest Digest
	at     time.Duration
}

// digestTable holds the digests of other processes. Times are uptimes, which include
// suspensions.
type digestTable struct {
	digests map[string]receivedDigest
	number  int64
	// active tells whether requests waited in the period before.
	active bool
}

func newDigestTable() *digestTable { return &digestTable{digests: map[string]receivedDigest{}} }

// observe records the digest of another process. It is ignored if a later one of the same
// run is known.
func (t *digestTable) observe(sender string, d Digest, now time.Duration) {
	known, found := t.digests[sender]
	if found && known.digest.Run == d.Run && known.digest.Number >= d.Number {
		return
	}
	if !found && len(t.digests) >= maxSenders {
		return
	}
	t.digests[sender] = receivedDigest{digest: d, at: now}
}

// expire drops digests that do not count any more.
func (t *digestTable) expire(now time.Duration) {
	maps.DeleteFunc(t.digests, func(_ string, h receivedDigest) bool { return now-h.at >= validity })
}

// sums returns the work that each account receives from other processes.
func (t *digestTable) sums() map[string]float64 {
	sums := map[string]float64{}
	for _, h := range t.digests {
		for account, slots := range h.digest.Slots {
			sums[account] += slots * h.digest.Factor
		}
	}
	return sums
}

// next returns the digest to be sent in this period, if any. Waited tells whether requests
// waited here since the last call, members is the number of processes, and draw a random
// number from 0 to 1. A process whose requests have just begun to wait does not know how
// many others have waiting requests, and assumes that all have.
func (t *digestTable) next(received map[string]float64, waited bool, members int, draw float64) (Digest, bool) {
	first := waited && !t.active
	t.active = waited
	if !waited {
		return Digest{}, false
	}
	senders := 1.0
	for _, h := range t.digests {
		senders += h.digest.Factor
	}
	if first && len(t.digests) == 0 {
		senders = max(senders, float64(members))
	}
	chance := min(1, maxDigests/senders)
	if draw >= chance {
		return Digest{}, false
	}
	t.number++
	// A receiver keeps a digest for validPeriods, so that it has one of this process with
	// the chance to have been sent in any of them.
	factor := 1 / (1 - math.Pow(1-chance, validPeriods))
	return Digest{Version: digestVersion, Number: t.number, Factor: min(factor, maxFactor), Slots: largest(received)}, true
}
