package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// Guards against a success with an empty or short body, since a service closed its
// connection within the head of its answer or within the body. It cannot happen:
// net/http fails unless the empty line after the head has come, and an answer needs a
// length or chunks.
func TestAnswerCutAnywhere(t *testing.T) {
	answers := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nWigeonpin-Request: r-1\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunks": "HTTP/1.1 200 OK\r\nWigeonpin-Request: r-1\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n",
	}
	for name, answer := range answers {
		for n := range len(answer) {
			address := startCut(t, answer[:n])
			client := New(setting.Defaults())
			for way, send := range map[string]func(context.Context, string, Request) (*Answer, error){"once": client.SendOnce, "pooled": client.SendPooled} {
				got, err := send(context.Background(), address, testRequest("r-1"))
				if err == nil {
					t.Errorf("%s, %s, cut after %q: status %d, body %q", name, way, answer[:n], got.Status, got.Body)
				} else if code.Of(err).Run != code.MaybeRun {
					t.Errorf("%s, %s, cut after %q: run %q, want %q", name, way, answer[:n], code.Of(err).Run, code.MaybeRun)
				}
			}
			client.Close()
		}
	}
}

// startCut starts a service that answers each request with the same bytes and closes
// the connection.
func startCut(t *testing.T, answer string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil && strings.HasPrefix(req.Header.Get(codec.HeaderRequest), "r-") {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return listener.Addr().String()
}
