package headers

import (
	"errors"
	"net/http"
	"testing"
)

// Guards against bad values of a rate limit that stop an endpoint for good, or free it.
func TestReadLimit(t *testing.T) {
	names := Names{Limit: "X-Limit"}
	cases := []struct {
		values []string
		rate   float64
		found  bool
		fails  bool
	}{
		{nil, 0, false, false},
		{[]string{"2.5"}, 2.5, true, false},
		{[]string{" 3 "}, 3, true, false},
		{[]string{"0"}, 0, true, false},
		{[]string{"1e308"}, 1e308, true, false},
		{[]string{"4", "2"}, 2, true, false},
		{[]string{"-1"}, 0, true, true},
		{[]string{"NaN"}, 0, true, true},
		{[]string{"Inf"}, 0, true, true},
		{[]string{"1e400"}, 0, true, true},
		{[]string{""}, 0, true, true},
		{[]string{"many"}, 0, true, true},
		{[]string{"2", "many"}, 0, true, true},
		{[]string{"2, 3"}, 0, true, true},
	}
	for _, c := range cases {
		rate, found, err := names.ReadLimit(http.Header{"X-Limit": c.values})
		if rate != c.rate || found != c.found || (err != nil) != c.fails || c.fails && !errors.Is(err, ErrInvalidRate) {
			t.Errorf("%q: %v, %v, %v; want %v, %v, failure %v", c.values, rate, found, err, c.rate, c.found, c.fails)
		}
	}
	if _, found, err := (Names{}).ReadLimit(http.Header{"": {"x"}}); found || err != nil {
		t.Errorf("without a field name: %v, %v", found, err)
	}
}
