package conn

import (
	"net"
	"net/http"
	"time"
)

// peerIdle is how long unused connections to other processes are kept.
const peerIdle = time.Minute

// NewPeerClient returns a client for calls of at most PeerLimit bytes between
// processes on the platform. Dial bounds a connection attempt, idle the unused
// connections to one process.
func NewPeerClient(dial time.Duration, idle int) *http.Client {
	dialer := &net.Dialer{Timeout: dial}
	return &http.Client{Transport: Bounded(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idle, IdleConnTimeout: peerIdle,
	}, PeerLimit)}
}
