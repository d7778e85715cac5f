package exchange

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// probeTimeout bounds the attempt to connect to an endpoint that broke off.
const probeTimeout = 200 * time.Millisecond

// Refused reports whether an address refuses connections, as it does when the
// process behind it has ended. Silence tells nothing, so that it reports false.
// A connection that is made is kept for later requests.
func (p *Pool) Refused(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dialed, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if p.options.Opened != nil {
		p.options.Opened(address)
	}
	p.putIdle(newConnection(dialed, address), defaultIdleTimeout)
	return false
}
