package platform

import (
	"context"
	"net/http"
)

// View is what callers at one address see: the lists of instances and endpoints
// with other addresses. With a view for each availability zone that leads
// through relays of its own, tests can cut one zone from another.
type View struct {
	// Listen is the address at which the view is served.
	Listen string `json:"listen"`
	// Addresses maps addresses in the lists to those that the view shows.
	Addresses map[string]string `json:"addresses"`
}

type viewKey struct{}

// View returns the platform's HTTP interface as it shows in a view.
func (p *Platform) View(v View) http.Handler {
	next := p.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), viewKey{}, v.Addresses)))
	})
}

// seen returns the address that the caller's view shows.
func seen(r *http.Request, address string) string {
	addresses, _ := r.Context().Value(viewKey{}).(map[string]string)
	if other, ok := addresses[address]; ok {
		return other
	}
	return address
}
