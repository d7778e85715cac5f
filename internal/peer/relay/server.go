package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

const (
	// connectTimeout bounds a connection attempt to a peer.
	connectTimeout = 300 * time.Millisecond
	// maxCallLimit is the longest timeout that a peer may request for a call.
	maxCallLimit = 40 * time.Second
	maxIdleConns = 4
)

type server struct{ direct, shared CallFunc }

// NewServer returns the handler that makes calls for peers. Watches and other calls
// that may be shared use shared. All other calls use direct, this process's own
// connection, so that they are not passed on from peer to peer.
func NewServer(direct, shared CallFunc) http.Handler {
	return NewRelayServer(&server{direct: direct, shared: shared})
}

// Call makes one call to the store for a peer.
func (s *server) Call(ctx context.Context, request *CallRequest) (*CallReply, error) {
	limit := time.Duration(request.GetLimit()) * time.Millisecond
	if limit <= 0 || limit > maxCallLimit {
		return nil, twirp.InvalidArgumentError("limit", "must be above 0 and at most 40000")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	call := s.direct
	if !request.GetOwn() {
		call = s.shared
	}
	reply, err := call(ctx, Call{
		Method: request.GetMethod(), Path: request.GetPath(), Query: request.GetQuery(), Body: request.GetBody(),
		Wait: time.Duration(request.GetWait()) * time.Millisecond, Shared: !request.GetOwn() && request.GetWait() == 0 && request.GetMethod() == http.MethodGet,
	})
	if err != nil {
		return &CallReply{Sent: mayHaveSent(err)}, nil
	}
	return &CallReply{Status: int32(reply.Status), Body: reply.Body}, nil
}

// NewAsk returns the function that makes a call through the process at an
// address.
func NewAsk() func(ctx context.Context, address string, call Call, limit time.Duration) (Reply, error) {
	client := conn.NewPeerClient(connectTimeout, maxIdleConns)
	return func(ctx context.Context, address string, call Call, limit time.Duration) (Reply, error) {
		peer := NewRelayProtobufClient("http://"+address, client)
		reply, err := peer.Call(ctx, &CallRequest{
			Method: call.Method, Path: call.Path, Query: call.Query, Body: call.Body, Limit: limit.Milliseconds(),
			Wait: call.Wait.Milliseconds(), Own: call.DirectOnly,
		})
		if err != nil {
			return Reply{}, NewError(!dialFailed(err), err)
		}
		if reply.GetStatus() == 0 {
			return Reply{}, NewError(reply.GetSent(), errPeerNoStore)
		}
		return Reply{Status: int(reply.GetStatus()), Body: reply.GetBody()}, nil
	}
}

// dialFailed reports whether no connection to the peer was made.
func dialFailed(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
