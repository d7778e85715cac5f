// Package intake is the client of the usage intake, which receives the usage
// reports. It keeps the first body of each window.
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

// The headers that name the reporter.
const (
	HeaderFence  = "Wigeonpin-Fence"
	HeaderHolder = "Wigeonpin-Holder"
)

// Client sends reports to one intake.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client. The HTTP client must refuse to write once the lease
// that permits reports is lost.
func New(address string, client *http.Client) *Client {
	return &Client{address: address, client: client}
}

// Send delivers the report of a window. After an error other than a status the
// intake may have the report; the same bytes are to be sent again.
func (c *Client) Send(ctx context.Context, window int64, body []byte, fence uint64, holder string) error {
	header := http.Header{}
	header.Set(HeaderFence, strconv.FormatUint(fence, 10))
	header.Set(HeaderHolder, holder)
	url := "http://" + c.address + "/v1/usage/" + strconv.FormatInt(window, 10)
	_, err := codec.Exchange(ctx, c.client, http.MethodPut, url, header, bytes.NewReader(body))
	return eris.Wrapf(err, "report of window %d", window)
}
