package conn

import (
	"net"
	"net/http"
	"time"
)

// peerIdleTimeout is how long idle connections to other processes are kept.
const peerIdleTimeout = time.Minute

// NewPeerClient returns a client for calls between processes of the system.
// Response bodies are limited to PeerBodyLimit bytes, connection attempts to
// connectTimeout, and the idle connections to each process to maxIdlePerHost.
func NewPeerClient(connectTimeout time.Duration, maxIdlePerHost int) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: LimitResponses(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: peerIdleTimeout,
	}, PeerBodyLimit)}
}
