package codec

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against objects and arrays that are no JSON after parts were joined to them.
func TestJoinedParts(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{string(AppendMember([]byte(`{}`), "a", json.RawMessage(`[1]`))), `{"a":[1]}`},
		{string(AppendMember([]byte(`{"b":{}}`), "a", json.RawMessage(`"x"`))), `{"b":{},"a":"x"}`},
		{string(JoinArray(nil)), `[]`},
		{string(JoinArray([]json.RawMessage{json.RawMessage(`{}`)})), `[{}]`},
		{string(JoinArray([]json.RawMessage{json.RawMessage(`1`), json.RawMessage(`"}"`)})), `[1,"}"]`},
	} {
		if c.got != c.want || !json.Valid([]byte(c.got)) {
			t.Errorf("joined %s, want %s", c.got, c.want)
		}
	}
}

// Guards against strings that are split at an escaped quote, and against texts that end
// within a string or an escape sequence.
func TestEscapedStrings(t *testing.T) {
	for _, text := range []string{`""`, `"a"`, `"\""`, `"\\"`, `"\\\""`, `"a\"b\"c"`, `"\u0022"`, `"` + strings.Repeat(`\"`, 1000) + `"`, `"` + strings.Repeat(`\\`, 1000) + `"`} {
		var got string
		if err := SplitObject([]byte(`{"k":`+text+`}`), func(_ string, value json.RawMessage) { got = string(value) }); err != nil || got != text {
			t.Errorf("value %s, error %v, want %s", got, err, text)
		}
	}
	for _, text := range []string{`"`, `"a`, `"\`, `"\"`, `"\\\"`, `"a\"}`} {
		if err := SplitObject([]byte(`{"k":`+text), func(string, json.RawMessage) {}); err == nil {
			t.Errorf("no error for a text that ends with %s", text)
		}
	}
}

// BenchmarkEscapedString shows that the time for a string grows with its length only.
func BenchmarkEscapedString(b *testing.B) {
	text := []byte(`{"k":"` + strings.Repeat(`\"`, 1<<19) + `"}`)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if err := SplitObject(text, func(string, json.RawMessage) {}); err != nil {
			b.Fatal(err)
		}
	}
}
