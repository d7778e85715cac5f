package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploader is a server that reads a part of each upload, answers without a length and ends
// the connection.
type uploader struct {
	address string
	read    int64  // bytes of the upload that are read; negative for all
	head    string // status line and fields of the answer
	body    string
	end     func(c *net.TCPConn)
}

// newUploader starts the server.
func newUploader(t *testing.T, u *uploader) *uploader {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u.address = listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(c.(*net.TCPConn))
		}
	}()
	return u
}

func (u *uploader) serve(c *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if u.read < 0 {
		_, _ = io.Copy(io.Discard, request.Body)
	} else {
		_, _ = io.CopyN(io.Discard, request.Body, u.read)
	}
	_, _ = io.WriteString(c, u.head+"\r\n"+echoHeader+": id\r\n\r\n"+u.body)
	u.end(c)
}

// upload sends a body of size bytes and reads the whole answer.
func upload(t *testing.T, address string, size int) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, err := New(Options{EchoHeader: echoHeader}).Do(ctx, address, Request{
		Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{echoHeader: {"id"}}, Body: make([]byte, size),
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	if ctx.Err() != nil {
		t.Error("the answer did not end in time")
	}
	return string(body), err
}

// Guards against a part of an answer that counts as the whole one (MIXED): a server answers
// a long upload without a length and resets the connection while the upload is still being
// written. The kernel tells the write of the reset, and the read finds an end.
func TestResetDuringAnUpload(t *testing.T) {
	heads := map[string]string{
		"success":      "HTTP/1.1 200 OK",
		"HTTP/1.0":     "HTTP/1.0 200 OK",
		"event stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream",
		"failure":      "HTTP/1.1 500 Error",
	}
	for name, head := range heads {
		for size, attempts := range map[int]int{20 << 10: 10, 8 << 20: 10, 32 << 20: 3} {
			t.Run(fmt.Sprintf("%s, %d KB", name, size>>10), func(t *testing.T) {
				u := newUploader(t, &uploader{read: 1 << 10, head: head, body: strings.Repeat("x", 4<<10), end: func(c *net.TCPConn) {
					time.Sleep(rand.N(20 * time.Millisecond))
					_ = c.SetLinger(0)
					_ = c.Close()
				}})
				for range attempts {
					if body, err := upload(t, u.address, size); err == nil {
						t.Fatalf("%d bytes of an answer that was cut count as whole", len(body))
					}
				}
			})
		}
	}
}

// Guards against answers without a length that are lost although they are whole: the server
// has read the upload and closes the connection in order.
func TestAnswersWithoutALength(t *testing.T) {
	for _, size := range []int{0, 20 << 10, 8 << 20} {
		u := newUploader(t, &uploader{read: -1, head: "HTTP/1.1 200 OK", body: "whole", end: func(c *net.TCPConn) { _ = c.Close() }})
		for range 10 {
			if body, err := upload(t, u.address, size); err != nil || body != "whole" {
				t.Errorf("upload of %d bytes: body %q, error %v", size, body, err)
			}
		}
	}
}

// Guards against a call that does not end, since the server closes only its half of the
// connection and leaves the upload unread.
func TestHalfCloseDuringAnUpload(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	u := newUploader(t, &uploader{read: 1 << 10, head: "HTTP/1.1 200 OK", body: "part", end: func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-held
		_ = c.Close()
	}})
	if body, err := upload(t, u.address, 32<<20); !errors.Is(err, errUnwritten) {
		t.Errorf("body %q, error %v, want that the request was not written", body, err)
	}
}
