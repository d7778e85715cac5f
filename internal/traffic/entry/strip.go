package entry

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// droppedHeaders are the headers that are never forwarded because they concern
// one connection or this service. The instance itself answers Expect.
var droppedHeaders = []string{
	"Authorization", "Proxy-Authorization", "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

const reservedHeaderPrefix = "Wigeonpin-"

// containsKey reports whether text contains something in the form of a key, also
// if it is percent-encoded.
func containsKey(text string) bool {
	if keyPattern.MatchString(text) {
		return true
	}
	// Decode twice, since proxies and browsers may encode twice.
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

// stripHeader returns the headers to be forwarded: without hop-by-hop headers,
// this service's own headers, and values that contain a key.
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

// stripCookies returns the cookies without those that contain a key.
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

// stripQuery returns the query without the parameters that contain a key.
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

// rejectKey returns an error if text contains the caller's own key or a key with
// a known id. It is used for parts of a request from which a key cannot be
// removed without changing the meaning of the request.
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
