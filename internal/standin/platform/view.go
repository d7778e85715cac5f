package platform

import (
	"context"
	"net/http"
)

// View replaces addresses in the lists of instances and endpoints for the
// callers at one listen address. Tests give each availability zone a view with
// the addresses of the zone's own relays, so that they can partition the zones.
type View struct {
	// Listen is the address at which the view is served.
	Listen string `json:"listen"`
	// Addresses maps addresses in the lists to their replacements.
	Addresses map[string]string `json:"addresses"`
}

type viewKey struct{}

// View returns the platform's HTTP interface with the addresses of v.
func (p *Platform) View(v View) http.Handler {
	next := p.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), viewKey{}, v.Addresses)))
	})
}

// viewAddress returns the replacement of address in the caller's view, or address itself.
func viewAddress(r *http.Request, address string) string {
	addresses, _ := r.Context().Value(viewKey{}).(map[string]string)
	if other, ok := addresses[address]; ok {
		return other
	}
	return address
}
