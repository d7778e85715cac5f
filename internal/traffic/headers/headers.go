// Package headers holds the names of the HTTP header fields that the data path
// reads and sets, and the rules for forwarding header fields.
//
// # Usage
//
//	out := names.ForwardRequest(request.Header)
//	out.Set(names.Account, account)
package headers

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Names are the names of the header fields.
type Names struct {
	// Request to Account are fields of a request: its id, which the answer repeats,
	// the milliseconds until its deadline, the endpoint that it is meant for and its
	// client account.
	Request, Deadline, Endpoint, Account string
	// Stamp to Limit are fields of an endpoint's answer: the proof of which
	// endpoint answered, the mark of a request that has not run, the load report,
	// the milliseconds for which the endpoint is still cold, the mark of an
	// endpoint that is shutting down, and the requests per second that the endpoint
	// takes from all processes together.
	Stamp, Rejected, Load, Cold, Leaving, Limit string
	// Versions is the field with the weight version of an answer. VersionKey is no
	// header field but the field of a stream event at which the version changes.
	Versions, VersionKey string
	// Model names the model; Wait is how many milliseconds a call may wait for
	// results.
	Model, Wait string
}

// connectionFields apply to a single connection and are not forwarded. Those
// that a Connection field lists are not forwarded either.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// ForwardRequest returns the header fields of a caller's request that are
// forwarded to an endpoint. The caller's key and the fields that this system sets
// are removed.
func (n Names) ForwardRequest(from http.Header) http.Header {
	out := withoutConnectionFields(from)
	for _, name := range []string{"Authorization", n.Account, n.Endpoint, n.Deadline} {
		out.Del(name)
	}
	return out
}

// ForwardAnswer returns the header fields of an endpoint's answer that are
// forwarded to the caller.
func (n Names) ForwardAnswer(from http.Header) http.Header { return withoutConnectionFields(from) }

func withoutConnectionFields(from http.Header) http.Header {
	out := from.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionFields {
		delete(out, name)
	}
	return out
}

// Millis parses a field that holds milliseconds. It returns false when the
// field is missing, malformed or negative.
func Millis(h http.Header, name string) (time.Duration, bool) {
	value, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return time.Duration(value * float64(time.Millisecond)), true
}

// SetMillis sets a field in milliseconds. Negative values are set as 0.
func SetMillis(h http.Header, name string, value time.Duration) {
	h.Set(name, strconv.FormatInt(max(0, value.Milliseconds()), 10))
}

// IsLeaving reports whether an endpoint announces that it is shutting down, so
// that it must get no new work.
func (n Names) IsLeaving(h http.Header) bool { return n.Leaving != "" && h.Get(n.Leaving) == "1" }

// ReadLimit parses an endpoint's rate limit in requests per second. found reports
// whether the answer has the field, and err whether its value is no rate. Of several
// values the lowest one counts.
func (n Names) ReadLimit(h http.Header) (rate float64, found bool, err error) {
	if n.Limit == "" {
		return 0, false, nil
	}
	for _, value := range h.Values(n.Limit) {
		parsed, err := strconv.ParseFloat(textproto.TrimString(value), 64)
		if err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) || parsed < 0 {
			return 0, true, fmt.Errorf("%w: %q", ErrInvalidRate, value)
		}
		if !found || parsed < rate {
			rate, found = parsed, true
		}
	}
	return rate, found, nil
}

// ErrInvalidRate is returned for a rate limit that is not a number of requests per
// second, zero or more.
var ErrInvalidRate = errors.New("invalid rate limit")

// ReadVersion parses the weight version of an answer.
func (n Names) ReadVersion(h http.Header) (int64, bool) {
	version, err := strconv.ParseInt(strings.TrimSpace(h.Get(n.Versions)), 10, 64)
	return version, err == nil
}
