package exchange

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// Guards against a request that cannot be written, of which nothing is sent, and that counts
// as sent: its caller would wait for an answer that nobody gives.
func TestUnwritableRequest(t *testing.T) {
	dialed := 0
	pool := New(Options{OnConnect: func(string) { dialed++ }})
	for name, request := range map[string]Request{
		"control character":    {Method: http.MethodPost, Path: "/a\n", Host: "h"},
		"space":                {Method: http.MethodPost, Path: "/a HTTP/1.1", Host: "h"},
		"space in the query":   {Method: http.MethodPost, Path: "/a", Query: "b c", Host: "h"},
		"no leading slash":     {Method: http.MethodPost, Path: "other.example/a", Host: "h"},
		"absolute":             {Method: http.MethodPost, Path: "http://other.example/a", Host: "h"},
		"no path":              {Method: http.MethodPost, Host: "h"},
		"two lines in a host":  {Method: http.MethodPost, Path: "/a", Host: "h\r\nX: y"},
		"path in a host":       {Method: http.MethodPost, Path: "/a", Host: "h/b"},
		"host that is encoded": {Method: http.MethodPost, Path: "/a", Host: "hé"},
		"space in a method":    {Method: "POST /b", Path: "/a", Host: "h"},
		"no method":            {Path: "/a", Host: "h"},
	} {
		_, err := pool.Do(t.Context(), "127.0.0.1:1", request)
		if !errors.Is(err, ErrUnwritable) || !NotSent(err) {
			t.Errorf("%s: error %v, want ErrUnwritable and nothing sent", name, err)
		}
	}
	if dialed != 0 {
		t.Errorf("%d connections for requests that cannot be written", dialed)
	}
}

// Guards against a request that reaches the endpoint with another method, target or host
// than it was asked with: a path that begins with two slashes became another host.
func TestTargetIsSentAsItIs(t *testing.T) {
	for _, target := range []string{
		"/", "//", "//stock/7", "///stock/7", "//other.example/admin", "//user@other.example:80/x?y=//z",
		"/a//b/../c/./", "/a?", "/a??", "/a?b=c&b=%20", "/%2F%2f%zz", "/a;b=c", "/a:b@c", "/a|b^c{}\"<>\\`", "/a#b", "/ä€",
	} {
		message, err := encode(Request{Method: http.MethodGet, Host: "H.example:8080"}.WithTarget(target))
		if err != nil {
			t.Errorf("%s: %v", target, err)
			continue
		}
		if head := "GET " + target + " HTTP/1.1\r\nHost: H.example:8080\r\n"; !strings.HasPrefix(string(message), head) {
			t.Errorf("%s is sent as %.100q", target, message)
		}
	}
	body := "GET / HTTP/1.1\r\n\r\n"
	message, err := encode(Request{Method: http.MethodPost, Host: "h", Body: []byte(body)}.WithTarget("//a"))
	if err != nil || !strings.HasSuffix(string(message), "Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body) {
		t.Errorf("a request with a body is sent as %q, error %v", message, err)
	}
}
