package capacity

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against an endpoint list that is no longer followed, or loses other entries,
// for one entry that another writer has left in it, and against requests to an
// endpoint whose entry cannot be read any more.
func TestOneOddEndpointDoesNotSpoilTheOthers(t *testing.T) {
	const depth = 400_000
	good := func(id string) string {
		return fmt.Sprintf(`{"id":%q,"address":"10.0.0.1:80","zone":"a","state":"ready","revision":3}`, id)
	}
	cases := map[string]struct {
		entry string
		named bool
	}{
		"nested":            {`{"id":"odd","x":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`, true},
		"number too large":  {`{"id":"odd","address":"10.0.0.2:80","state":"ready","price_per_hour":1e400,"revision":4}`, true},
		"port out of range": {`{"id":"odd","address":"10.0.0.2:70000","state":"ready","revision":4}`, true},
		"no address":        {`{"id":"odd","state":"ready","revision":4}`, true},
		"id of a type":      {`{"id":4,"address":"10.0.0.2:80"}`, false},
		"no object":         {`[]`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			page, err := decodePage(fmt.Appendf(nil, `{"revision":9,"endpoints":[%s,%s,%s]}`, good("a"), c.entry, good("z")))
			if err != nil || page.Revision != 9 {
				t.Fatalf("revision %d, error %v", page.Revision, err)
			}
			ids := ""
			for _, e := range page.Endpoints {
				ids += e.ID + " " + e.State + fmt.Sprint(" ", e.Revision, ", ")
			}
			want := "a ready 3, z ready 3, "
			if c.named {
				want = "a ready 3, odd gone 9, z ready 3, "
			}
			if ids != want {
				t.Errorf("endpoints %q, want %q", ids, want)
			}
		})
	}
	for _, body := range []string{`{"revision":9,"endpoints":[`, `[]`, `{"endpoints":[]}`, `{"revision":9,"endpoints":{}}`} {
		if page, err := decodePage([]byte(body)); err == nil {
			t.Errorf("%s: %+v, want an error", body, page)
		}
	}
}
