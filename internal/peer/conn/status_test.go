package conn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// final is a whole response.
const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// invalidHeads are the heads of responses that count as a fault of the peer. Each is
// followed by the bytes of a whole response, as a body may hold.
var invalidHeads = map[string]string{
	"status 000":        "HTTP/1.1 000 Odd\r\nContent-Length: 40\r\n\r\n",
	"status 099":        "HTTP/1.1 099 Odd\r\nContent-Length: 40\r\n\r\n",
	"status 600":        "HTTP/1.1 600 Odd\r\nContent-Length: 40\r\n\r\n",
	"status 999":        "HTTP/1.1 999 Odd\r\nContent-Length: 40\r\n\r\n",
	"other protocol":    "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 40\r\n\r\n",
	"no length":         "HTTP/1.1 000 Odd\r\n\r\n",
	"interim, length":   "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\n",
	"interim, chunks":   "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
	"000 after interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\nContent-Length: 40\r\n\r\n",
}

// Guards against a body that is read as the next response (MIXED): the bytes after a
// head whose status is taken for that of an interim response.
func TestReadResponse(t *testing.T) {
	for name, head := range invalidHeads {
		if response, err := read(head + final); err == nil {
			t.Errorf("%s: status %d, want an error", name, response.StatusCode)
		}
	}
	for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
		response, err := read(interim + final)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("after %q: error %v, want status 200", interim, err)
		}
	}
}

func read(text string) (*http.Response, error) {
	return ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodPost})
}

// Guards against a response without a valid status that a client of net/http returns as
// an answer.
func TestCheckStatus(t *testing.T) {
	for name, head := range invalidHeads {
		client := &http.Client{Transport: CheckStatus(&http.Transport{})}
		address := serveText(t, head+strings.Repeat("x", 40))
		response, err := client.Get("http://" + address)
		if err == nil {
			_ = response.Body.Close()
			t.Errorf("%s: status %d, want an error", name, response.StatusCode)
		}
		if strings.HasPrefix(name, "status") && !errors.Is(err, ErrInvalidStatus) {
			t.Errorf("%s: error %v, want ErrInvalidStatus", name, err)
		}
		client.CloseIdleConnections()
	}
}

// serveText returns the address of a server that answers each connection with the text.
func serveText(t *testing.T, text string) string {
	t.Helper()
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
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
