package lease

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

func userTimeout(t *testing.T, conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if err := raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	return value
}
