// Package flood is a faulty server whose answers never end.
//
// # Usage
//
//	address := flood.New(t, "HTTP/1.1 200 OK\r\nX-Long: ", "x")
package flood

import (
	"io"
	"net"
	"strings"
	"testing"
)

// blockSize is about the number of bytes of one write.
const blockSize = 32 << 10

// New starts a server for the time of a test and returns its address. On each
// connection it writes start, and then more again and again until its caller
// closes.
func New(t *testing.T, start, more string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := strings.Repeat(more, 1+blockSize/len(more))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go write(c, start, block)
		}
	}()
	return listener.Addr().String()
}

func write(c net.Conn, start, block string) {
	defer c.Close()
	// net/http refuses an answer that comes before its request.
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return
	}
	_, err := io.WriteString(c, start)
	for err == nil {
		_, err = io.WriteString(c, block)
	}
}
