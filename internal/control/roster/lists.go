package roster

import (
	"context"
	"net/http"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// Server returns the handler of the Lists service for other instances. Mount it
// at ListsPathPrefix.
func (r *Roster) Server() http.Handler { return NewListsServer(&listsHandler{r}) }

type listsHandler struct{ roster *Roster }

// Since returns the endpoints that changed after a revision.
func (l *listsHandler) Since(_ context.Context, request *SinceRequest) (*SinceAnswer, error) {
	page := l.roster.Since(request.GetAfter())
	answer := &SinceAnswer{Revision: page.Revision, Full: page.Full}
	for _, e := range page.Endpoints {
		answer.Endpoints = append(answer.Endpoints, &Listed{
			Id: e.ID, Zone: e.Zone, Address: e.Address, Kind: e.Kind, Model: e.Model,
			Class: e.Class, State: e.State, Revision: e.Revision, Price: e.PricePerHour,
		})
	}
	return answer, nil
}

// FetchSince requests the endpoints that changed after a revision from another
// instance.
func FetchSince(ctx context.Context, client *http.Client, peer member.Instance, after uint64) (Page, error) {
	answer, err := NewListsProtobufClient(fleet.URL(peer.Peer), client).Since(ctx, &SinceRequest{After: after})
	if err != nil {
		return Page{}, err
	}
	page := Page{Revision: answer.GetRevision(), Full: answer.GetFull()}
	for _, e := range answer.GetEndpoints() {
		page.Endpoints = append(page.Endpoints, Endpoint{
			ID: e.GetId(), Zone: e.GetZone(), Address: e.GetAddress(), Kind: e.GetKind(), Model: e.GetModel(),
			Class: e.GetClass(), State: e.GetState(), Revision: e.GetRevision(), PricePerHour: e.GetPrice(),
		})
	}
	return page, nil
}
