// Package weights is the client of the weight store. Engines read the weights
// themselves. An instance only checks that a version is stored, since otherwise
// a version that is announced too early would make every engine fail.
//
// # Usage
//
//	store := weights.New("127.0.0.1:9300", http.DefaultClient)
//	if err := store.CheckStored(ctx, "alpha", 12); err != nil {
//		return err // missing, rate-limited or unreachable
//	}
package weights

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// Client calls one weight store.
type Client struct {
	address string
	client  *http.Client
}

// New returns the client of the store at an address.
func New(address string, client *http.Client) *Client {
	return &Client{address: address, client: client}
}

// CheckStored returns nil if the store has the version. It closes the answer
// after reading its header, so that the weights are not transferred.
func (c *Client) CheckStored(ctx context.Context, trainer string, version int) error {
	target := fmt.Sprintf("http://%s/v1/weights/%s/%d", c.address, url.PathEscape(trainer), version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return eris.Wrap(err, "weight store")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "weight store")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 2 {
		return nil
	}
	wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if err != nil {
		wait = 0
	}
	return eris.Wrapf(&codec.StatusError{Status: resp.StatusCode, RetryAfter: wait}, "version %d of %s", version, trainer)
}

// RateLimited reports whether the store's rate limit caused err, and how long to
// wait before a retry. wait is 0 if the store did not say.
func RateLimited(err error) (wait time.Duration, limited bool) {
	var status *codec.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusTooManyRequests {
		return 0, false
	}
	return status.RetryAfter, true
}
