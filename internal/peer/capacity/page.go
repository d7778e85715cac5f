package capacity

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// decodePage decodes a list of endpoints. An entry that cannot be read, for example
// of another writer, names no endpoint to use and does not affect the others.
func decodePage(body []byte) (roster.Page, error) {
	var page roster.Page
	var revision, list json.RawMessage
	err := codec.SplitObject(body, func(key string, value json.RawMessage) {
		switch key {
		case "revision":
			revision = value
		case "endpoints":
			list = value
		}
	})
	if err != nil {
		return page, err
	}
	if err := json.Unmarshal(revision, &page.Revision); err != nil {
		return page, eris.Wrap(err, "revision")
	}
	entries, err := codec.SplitArray(list)
	if err != nil {
		return page, eris.Wrap(err, "endpoints")
	}
	for _, entry := range entries {
		if e, named := decodeEndpoint(entry, page.Revision); named {
			page.Endpoints = append(page.Endpoints, e)
		}
	}
	return page, nil
}

// decodeEndpoint decodes an entry of the list. An invalid entry with a readable name
// becomes one of an endpoint that is gone, with the revision of the list.
func decodeEndpoint(entry json.RawMessage, revision uint64) (e roster.Endpoint, named bool) {
	if json.Unmarshal(entry, &e) == nil && usable(e) {
		return e, e.ID != ""
	}
	e = roster.Endpoint{State: roster.StateGone, Revision: revision}
	_ = codec.SplitObject(entry, func(key string, value json.RawMessage) { // without a name, there is nothing to remove
		if key == "id" {
			_ = json.Unmarshal(value, &e.ID)
		}
	})
	return e, e.ID != ""
}

// usable reports whether an endpoint is gone or has an address that can be used.
func usable(e roster.Endpoint) bool {
	if e.State == roster.StateGone {
		return true
	}
	address, err := netip.ParseAddrPort(e.Address)
	return err == nil && address.Port() != 0
}
