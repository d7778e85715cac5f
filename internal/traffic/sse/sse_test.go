package sse

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against events that are merged, missing or truncated when they are
// passed on.
func TestEvents(t *testing.T) {
	cases := []struct {
		name, body string
		want       []Event
		err        error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []Event{{ID: 1, Data: []byte("a")}, {ID: 2, Data: []byte("b")}}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []Event{{ID: 1, Data: []byte("a")}}, io.EOF},
		{"two data lines", "id: 1\ndata: a\ndata: b\n\n", []Event{{ID: 1, Data: []byte("a\nb")}}, io.EOF},
		{"version", "versions: 7\nid: 3\ndata: a\n\n", []Event{{ID: 3, Data: []byte("a"), Version: 7}}, io.EOF},
		{"colon in data", "id: 1\ndata: a: b\n\n", []Event{{ID: 1, Data: []byte("a: b")}}, io.EOF},
		{"truncated within a line", "id: 1\ndata: a\n\nid: 2\nda", []Event{{ID: 1, Data: []byte("a")}}, io.ErrUnexpectedEOF},
		{"truncated before the empty line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"empty", "", nil, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reader := NewReader(strings.NewReader(c.body), "versions")
			raw := ""
			for _, want := range c.want {
				e, err := reader.Next()
				if err != nil {
					t.Fatal(err)
				}
				if e.ID != want.ID || string(e.Data) != string(want.Data) || e.Version != want.Version {
					t.Errorf("got %+v, want %+v", e, want)
				}
				raw += string(e.Raw)
			}
			if !strings.HasPrefix(c.body, raw) {
				t.Errorf("raw bytes %q are not a prefix of the body %q", raw, c.body)
			}
			if _, err := reader.Next(); !errors.Is(err, c.err) {
				t.Errorf("error %v at the end of the body, want %v", err, c.err)
			}
		})
	}
}

// Guards against an event of 3 MB that is read into memory as a whole.
func TestEventTooLarge(t *testing.T) {
	endless := strings.NewReader(strings.Repeat("data: xxxxxxxxxxxxxxxx\n", 1<<17))
	if _, err := NewReader(endless, "v").Next(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want %v", err, ErrTooLarge)
	}
}
