// Package capacity is the client of the platform's endpoint orders: the list
// of endpoints and the desired number of them in each availability zone.
//
// # Usage
//
//	client := capacity.New("127.0.0.1:9000", http.DefaultClient)
//	page, err := client.Watch(ctx, after, 20*time.Second)
//	err = client.Order(ctx, lease.Client(), "zone-a", order)
//
// An order states the whole zone, so that it can be sent again when its answer
// was lost.
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

// Client calls one platform.
type Client struct {
	address string
	client  *http.Client
}

// New returns the client of the platform at an address.
func New(address string, client *http.Client) *Client {
	return &Client{address: address, client: client}
}

// Model is the desired number of a model's endpoints in a zone.
type Model struct {
	Model    string `json:"model"`
	Standard int    `json:"standard"`
	Cheap    int    `json:"cheap"`
}

// Order is the desired state of a whole zone.
type Order struct {
	Fence  uint64  `json:"fence"`
	Holder string  `json:"holder"`
	Models []Model `json:"models"`
}

// Watch returns the endpoints that changed after a revision, and waits for a
// change for at most wait. With revision 0 it returns the whole list.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (roster.Page, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)}}
	page, err := codec.Call[roster.Page](ctx, c.client, http.MethodGet,
		fmt.Sprintf("http://%s/v1/endpoints?%s", c.address, query.Encode()), nil, nil)
	page.Full = after == 0
	return page, eris.Wrap(err, "endpoint list")
}

// Order sends the desired state of a zone over the guarded connections of the
// lease's client. An error leaves it open whether the order was taken.
func (c *Client) Order(ctx context.Context, guarded *http.Client, zone string, order Order) error {
	_, err := codec.Call[struct{}](ctx, guarded, http.MethodPut,
		fmt.Sprintf("http://%s/v1/orders/%s", c.address, url.PathEscape(zone)), nil, order)
	return eris.Wrapf(err, "order for zone %s", zone)
}
