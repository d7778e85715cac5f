// Package fleet is the transport of calls between the instances of one fleet:
// an HTTP client that authenticates with the fleet's secret, a handler that
// checks the secret in front of the twirp servers, and a listener that counts the
// traffic.
//
// # Usage
//
//	client := fleet.NewClient(settings, meters)
//	peer := feed.NewControlProtobufClient(fleet.URL(instance.Peer), client)
//	http.Serve(fleet.NewCountingListener(listener, meters), fleet.RequireSecret(settings.Secret, meters, router))
package fleet

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

// HeaderInstance is the header with the id of the calling instance.
const HeaderInstance = "Wigeonpin-Instance"

const (
	dialTimeout           = time.Second
	keepAlivePeriod       = 5 * time.Second
	idleConnsPerPeer      = 8
	idleTimeout           = 20 * time.Second
	responseHeaderTimeout = 10 * time.Minute
)

// NewClient returns the client for calls to other instances. It has no timeout
// for a whole call, so the context of a call must have a deadline.
func NewClient(settings setting.Settings, meters *meter.Set) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	traffic := meters.Counter("peer_bytes")
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, traffic: traffic}, nil
		},
		MaxIdleConnsPerHost:   idleConnsPerPeer,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: responseHeaderTimeout,
		DisableCompression:    true,
	}
	return &http.Client{Transport: &authTransport{next: conn.LimitResponses(transport, conn.PeerBodyLimit), secret: settings.Secret, instanceID: settings.ID}}
}

type authTransport struct {
	next       http.RoundTripper
	secret     string
	instanceID string
}

// RoundTrip adds the fleet's secret and the caller's id to the headers.
func (t *authTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	authorized := r.Clone(r.Context())
	authorized.Header.Set("Authorization", "Bearer "+t.secret)
	authorized.Header.Set(HeaderInstance, t.instanceID)
	// The body of most calls has only a few dozen bytes, so unused headers would
	// be a considerable part of the control traffic.
	authorized.Header.Del("Accept")
	authorized.Header.Del("Twirp-Version")
	authorized.Header.Set("User-Agent", "")
	return t.next.RoundTrip(authorized)
}

// RequireSecret returns a handler that passes only calls with the fleet's
// secret to next. It refuses the others and counts them in the metric
// peer_refused.
func RequireSecret(secret string, meters *meter.Set, next http.Handler) http.Handler {
	refused := meters.Counter("peer_refused")
	want := []byte("Bearer " + secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			refused.Add("secret", 1)
			codec.WriteError(w, code.New(code.PeerRefused, "the fleet's secret is missing or wrong").WithRun(code.NotRun))
			return
		}
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// NewCountingListener returns a listener that counts the bytes sent and
// received on accepted connections in the metric peer_bytes, as the client does
// for its own connections.
func NewCountingListener(listener net.Listener, meters *meter.Set) net.Listener {
	return &countedListener{Listener: listener, traffic: meters.Counter("peer_bytes")}
}

type countedListener struct {
	net.Listener
	traffic *meter.Counter
}

// Accept returns the next connection, which counts its bytes.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *meter.Counter
}

// Read counts the received bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add("received", int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Add("sent", int64(n))
	return n, err
}

// URL returns the base URL of an instance's peer address.
func URL(address string) string { return "http://" + address }

// IsConnRefused reports whether the connection was refused, which proves that no
// process listens at the address.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
