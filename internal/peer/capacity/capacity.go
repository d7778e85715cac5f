// Package capacity is the client of the platform's API for endpoints: it reads
// the list of endpoints and orders a number of endpoints for each model in an
// availability zone.
//
// # Usage
//
//	client := capacity.New("127.0.0.1:9000", http.DefaultClient)
//	page, err := client.Watch(ctx, after, 20*time.Second)
//	err = client.SendOrder(ctx, lease.Client(), "zone-a", order)
//
// An order states the desired state of a whole zone, so it is idempotent and can
// be sent again when its response was lost.
package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// Client calls the API of one platform.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client of the platform at an address of the form IP:PORT.
func New(address string, client *http.Client) *Client {
	return &Client{address: address, client: client}
}

// ModelTarget is the desired number of a model's standard and cheap endpoints
// in a zone.
type ModelTarget struct {
	Model    string `json:"model"`
	Standard int    `json:"standard"`
	Cheap    int    `json:"cheap"`
}

// Order is the desired state of a whole zone. Fence and Holder are the fencing
// token and the holder of the lease.
type Order struct {
	Fence  uint64        `json:"fence"`
	Holder string        `json:"holder"`
	Models []ModelTarget `json:"models"`
}

// Watch returns the endpoints that changed after a revision. If there are none,
// it waits up to wait for a change. With revision 0 it returns the whole list.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (roster.Page, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)}}
	body, err := codec.Exchange(ctx, c.client, http.MethodGet,
		fmt.Sprintf("http://%s/v1/endpoints?%s", c.address, query.Encode()), nil, nil)
	if err != nil {
		return roster.Page{}, eris.Wrap(err, "endpoint list")
	}
	page, err := decodePage(body)
	page.Full = after == 0
	return page, eris.Wrap(err, "endpoint list")
}

// SendOrder sends the desired state of a zone. The guarded client is that of
// the lease, whose connections refuse to write once the lease is lost. After an
// error the platform may or may not have accepted the order.
func (c *Client) SendOrder(ctx context.Context, guarded *http.Client, zone string, order Order) error {
	_, err := codec.Call[struct{}](ctx, guarded, http.MethodPut,
		fmt.Sprintf("http://%s/v1/orders/%s", c.address, url.PathEscape(zone)), nil, order)
	return eris.Wrapf(err, "order for zone %s", zone)
}
