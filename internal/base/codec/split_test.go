package codec

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// value draws a JSON value of up to the given depth.
func value(t *rapid.T, depth int) any {
	kind := rapid.IntRange(0, 5).Draw(t, "kind")
	if depth == 0 {
		kind = min(kind, 3)
	}
	switch kind {
	case 0:
		return nil
	case 1:
		return rapid.Bool().Draw(t, "bool")
	case 2:
		return rapid.Float64Range(-1e30, 1e30).Draw(t, "number")
	case 3:
		return rapid.String().Draw(t, "text")
	case 4:
		list := make([]any, rapid.IntRange(0, 3).Draw(t, "length"))
		for i := range list {
			list[i] = value(t, depth-1)
		}
		return list
	}
	object := map[string]any{}
	for range rapid.IntRange(0, 3).Draw(t, "size") {
		object[rapid.String().Draw(t, "key")] = value(t, depth-1)
	}
	return object
}

// Guards against parts of a text that differ from what encoding/json finds in it, and
// against a text that is cut off and is taken for a whole one.
func TestSplitFindsTheSameParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := []any{value(t, 3), value(t, 3)}
		text, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		var want []json.RawMessage
		if err := json.Unmarshal(text, &want); err != nil {
			t.Fatal(err)
		}
		got, err := SplitArray(text)
		if err != nil || !slices.EqualFunc(got, want, slices.Equal[json.RawMessage]) {
			t.Fatalf("%s: %q, %v", text, got, err)
		}
		cut := rapid.IntRange(1, len(text)-1).Draw(t, "cut")
		if got, err := SplitArray(text[:cut]); err == nil {
			t.Fatalf("%s: %q, want an error", text[:cut], got)
		}
		object := map[string]any{"a": list[0], "\"}\\": list[1]}
		if text, err = json.Marshal(object); err != nil {
			t.Fatal(err)
		}
		members := map[string]json.RawMessage{}
		if err := SplitObject(text, func(key string, value json.RawMessage) { members[key] = value }); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if string(members["a"]) != string(want[0]) || string(members["\"}\\"]) != string(want[1]) || len(members) != 2 {
			t.Fatalf("%s: %q", text, members)
		}
	})
}
