package exchange

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// probeTimeout bounds the attempt to connect to an endpoint that broke off an
// exchange.
const probeTimeout = 200 * time.Millisecond

// RefusesConnections reports whether an address refuses connections, as it does
// when the process behind it has ended. A timeout proves nothing and yields
// false. If a connection is made, it is kept in the pool for later requests.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dialed, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if p.options.OnConnect != nil {
		p.options.OnConnect(address)
	}
	p.putIdle(newConnection(dialed, target{address: address}), defaultIdleTimeout)
	return false
}
