package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
)

// Guards against a caller that reaches another host, path or query at an endpoint than those
// by which its route was found.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	fx := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Request, r.Header.Get(names.Request))
		w.Header().Set(names.Stamp, "proof")
		_, _ = io.WriteString(w, r.Host+" "+r.RequestURI)
	})
	fx.manifest.Store(manifest.New(4, []manifest.Route{{
		Host: "h", Prefix: "/", Kind: manifest.Idempotent, Attempts: 1, Public: true,
		Targets: []manifest.Target{{Service: "svc", Weight: 1}},
	}}, nil, nil, manifest.Limits{}))
	for _, target := range []string{"//stock/7", "//other.example/admin", "///a", "/a?", "/a?b=c", "/a//b/../c", "/a%2Fb|c"} {
		connection, err := net.Dial("tcp", strings.TrimPrefix(fx.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h\r\n%s: r1\r\nConnection: close\r\n\r\n", target, names.Request)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if got, want := string(body), "h "+target; err != nil || got != want {
			t.Errorf("the endpoint got %q, want %q (status %d, error %v)", got, want, response.StatusCode, err)
		}
		_ = connection.Close()
	}
}
