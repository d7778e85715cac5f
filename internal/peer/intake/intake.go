// Package intake is the client of the usage intake, which receives the usage
// reports. The intake keeps the first report of each window.
//
// # Usage
//
//	client := intake.New(settings.Intake, lease.Client())
//	err := client.Send(ctx, window, body, fence, settings.ID)
package intake

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// The headers with the fencing token and the holder of the lease under which a
// report is sent.
const (
	HeaderFence  = "Wigeonpin-Fence"
	HeaderHolder = "Wigeonpin-Holder"
)

// Client sends usage reports to one intake.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client of the intake at an address. The HTTP client must refuse to
// write once the lease that permits reports is lost.
func New(address string, client *http.Client) *Client {
	return &Client{address: address, client: client}
}

// Send sends the report of a window. After an error without an HTTP status the
// intake may already have the report, so the caller must send the same bytes
// again.
func (c *Client) Send(ctx context.Context, window int64, body []byte, fence uint64, holder string) error {
	header := http.Header{}
	header.Set(HeaderFence, strconv.FormatUint(fence, 10))
	header.Set(HeaderHolder, holder)
	url := "http://" + c.address + "/v1/usage/" + strconv.FormatInt(window, 10)
	_, err := codec.Exchange(ctx, c.client, http.MethodPut, url, header, bytes.NewReader(body))
	return eris.Wrapf(err, "report of window %d", window)
}
