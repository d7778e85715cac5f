package batch

import "testing"

// Guards against two items with one text key, as the bytes of one field may be read as
// those of the next.
func TestTextKeysDiffer(t *testing.T) {
	seen := map[string]int{}
	batches := []*Batch{
		{Account: "ab", Model: "c", Items: []Item{{ID: "i"}}},
		{Account: "a", Model: "bc", Items: []Item{{ID: "i"}}},
		{Account: "ab", Model: "c", Items: []Item{{ID: "i", Path: "x"}}},
		{Account: "ab", Model: "c", Items: []Item{{ID: "ix"}}},
		{ID: "ab", Model: "c", Items: []Item{{ID: "i"}}},
		{Account: "ab", Model: "c", Items: []Item{{ID: "i", Header: map[string]string{"A": "B"}}}},
		{Account: "ab", Model: "c", Items: []Item{{ID: "i", Body: []byte("AB")}}},
		{Account: "ab", Model: "c", Items: []Item{{ID: "i", Header: map[string]string{"A": "", "B": ""}}}},
		{Account: "ab", Model: "c", Items: []Item{{ID: "i", MaxTokens: 1}}},
		{Account: "ab", Model: "c", Host: "h", Items: []Item{{ID: "i"}}},
	}
	for i, b := range batches {
		key := b.TextKey(&b.Items[0])
		if other, found := seen[key]; found {
			t.Errorf("items %d and %d have the same key", other, i)
		}
		seen[key] = i
	}
}

// Guards against texts that are lost as the same input is written in another way: a
// batch that comes again under another id, with its header fields in other letters.
func TestSameInputHasTheSameTextKey(t *testing.T) {
	first := &Batch{ID: "b1", Account: "a", Model: "m", Items: []Item{{ID: "i", Header: map[string]string{"a": "1", "B": "2"}, Body: []byte("p")}}}
	again := &Batch{ID: "b2", Account: "a", Model: "m", MinVersion: 2, Items: []Item{{ID: "i", Header: map[string]string{"A": "1", "b": "2"}, Body: []byte("p"), Group: "g", ExpectedTokens: 3}}}
	if first.TextKey(&first.Items[0]) != again.TextKey(&again.Items[0]) {
		t.Error("the keys differ, want the same for the same input")
	}
}
