package entry

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// Headers that belong to one connection or to this service and are never
// passed on. Expect is answered by the instance itself.
var droppedHeaders = []string{
	"Authorization", "Proxy-Authorization", "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

const reservedHeaderPrefix = "Wigeonpin-"

// containsKey reports whether text has a part of the form of a key, also when it
// is percent-encoded.
func containsKey(text string) bool {
	if keyPattern.MatchString(text) {
		return true
	}
	// Proxies and browsers may encode twice.
	for range 2 {
		plain, err := url.QueryUnescape(text)
		if err != nil || plain == text {
			return false
		}
		if keyPattern.MatchString(plain) {
			return true
		}
		text = plain
	}
	return false
}

// stripHeader returns the headers that go on to an endpoint: without those of
// the connection, this service's own ones and all that hold a key.
func stripHeader(in http.Header) http.Header {
	drop := slices.Clone(droppedHeaders)
	for _, value := range in.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	out := http.Header{}
	for name, values := range in {
		if slices.Contains(drop, name) || strings.HasPrefix(name, reservedHeaderPrefix) || containsKey(name) {
			continue
		}
		if name == "Cookie" {
			if kept := stripCookies(values); kept != "" {
				out.Set(name, kept)
			}
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(values), containsKey)
		if len(kept) > 0 {
			out[name] = kept
		}
	}
	return out
}

// stripCookies returns the cookies without those that hold a key.
func stripCookies(lines []string) string {
	var kept []string
	for _, line := range lines {
		for _, cookie := range strings.Split(line, ";") {
			if cookie = strings.TrimSpace(cookie); cookie != "" && !containsKey(cookie) {
				kept = append(kept, cookie)
			}
		}
	}
	return strings.Join(kept, "; ")
}

// stripQuery returns the query without the parameters that hold a key.
func stripQuery(raw string) string {
	if raw == "" {
		return ""
	}
	var kept []string
	for _, pair := range strings.Split(raw, "&") {
		if !containsKey(pair) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

// rejectKey refuses text in which a key of the table or the caller's own one
// stands where it cannot be removed without changing the request's meaning.
func rejectKey(location, text string, c *caller, current *table.Table) error {
	found := c.key != "" && strings.Contains(text, c.key)
	for _, match := range keyPattern.FindAllStringSubmatch(text, -1) {
		if _, known := current.Key(match[1]); known {
			found = true
		}
	}
	if found {
		return code.New(code.BadRequest, "the %s holds a key; keys belong into the header Authorization only", location).WithRun(code.NotRun)
	}
	return nil
}
