// Package headers holds the names of the header fields that the data path
// reads and sets, and the rules for passing header fields on.
//
// # Usage
//
//	out := names.Forward(request.Header)
//	out.Set(names.Account, account)
package headers

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// Names are the header fields. VersionKey is the field of an event of a stream
// at which the weight version changes.
type Names struct {
	Request, Deadline, Endpoint, Account string
	Stamp, Rejected, Load, Cold, Leaving string
	Versions, VersionKey, Model, Wait    string
}

// connectionFields concern one connection only and are not passed on.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Forward returns the header fields of a caller's request that an endpoint
// gets. The caller's key and the fields that this system sets are left out.
func (n Names) Forward(from http.Header) http.Header {
	out := passable(from)
	for _, name := range []string{"Authorization", n.Account, n.Endpoint, n.Deadline} {
		out.Del(name)
	}
	return out
}

// Return returns the header fields of an endpoint's answer that the caller
// gets.
func (n Names) Return(from http.Header) http.Header { return passable(from) }

func passable(from http.Header) http.Header {
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

// Millis reads a field that holds milliseconds.
func Millis(h http.Header, name string) (time.Duration, bool) {
	value, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return time.Duration(value * float64(time.Millisecond)), true
}

// SetMillis writes a field that holds milliseconds.
func SetMillis(h http.Header, name string, value time.Duration) {
	h.Set(name, strconv.FormatInt(max(0, value.Milliseconds()), 10))
}

// ReadLoad reads an endpoint's report of its load: running, waiting, slots.
func (n Names) ReadLoad(h http.Header) (replica.Load, bool) {
	parts := strings.Split(h.Get(n.Load), ",")
	if len(parts) != 3 {
		return replica.Load{}, false
	}
	var numbers [3]int
	for i, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil {
			return replica.Load{}, false
		}
		numbers[i] = number
	}
	return replica.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// IsLeaving reports whether an endpoint tells that it leaves and must get no
// new work.
func (n Names) IsLeaving(h http.Header) bool { return n.Leaving != "" && h.Get(n.Leaving) == "1" }

// ReadVersion reads the weight version of an answer.
func (n Names) ReadVersion(h http.Header) (int64, bool) {
	version, err := strconv.ParseInt(strings.TrimSpace(h.Get(n.Versions)), 10, 64)
	return version, err == nil
}
