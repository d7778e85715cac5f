// Package flood provides a test server whose responses never end.
//
// # Usage
//
//	address := flood.Start(t, "HTTP/1.1 200 OK\r\nX-Long: ", "x")
package flood

import (
	"io"
	"net"
	"strings"
	"testing"
)

// minBlockBytes is the minimum size of one write.
const minBlockBytes = 32 << 10

// Start starts a server that runs until the test ends and returns its address. On
// each connection it writes prefix and then repeats filler until the client
// closes the connection.
func Start(t *testing.T, prefix, filler string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	// Converted once: tests measure what their client allocates.
	block := []byte(strings.Repeat(filler, 1+minBlockBytes/len(filler)))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go write(c, prefix, block)
		}
	}()
	return listener.Addr().String()
}

func write(c net.Conn, prefix string, block []byte) {
	defer c.Close()
	// net/http rejects a response that arrives before its request was sent.
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return
	}
	_, err := io.WriteString(c, prefix)
	for err == nil {
		_, err = c.Write(block)
	}
}
