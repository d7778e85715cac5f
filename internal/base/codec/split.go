package codec

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
)

// A list of an external system holds entries of other writers. encoding/json rejects
// a whole text for one entry that it cannot read, for example one that is nested more
// than 10,000 levels deep. The functions of this file find the parts of a text by its
// brackets and strings alone, at any depth, so that each entry is decoded by itself.

// errUnbalanced is returned for a text that ends within a value.
var errUnbalanced = errors.New("the text ends within a value")

// splitter reads the parts of a JSON text in order.
type splitter struct {
	text []byte
	at   int
}

// SplitObject calls onMember for each member of a JSON object. The value is not
// checked.
func SplitObject(text []byte, onMember func(key string, value json.RawMessage)) error {
	s := &splitter{text: text}
	return s.split('{', '}', func() error {
		quoted, err := s.value()
		if err != nil {
			return err
		}
		var key string
		if err := json.Unmarshal(quoted, &key); err != nil {
			return eris.Wrap(err, "key")
		}
		if !s.skip(':') {
			return eris.Errorf("no value of key %.50q", key)
		}
		value, err := s.value()
		if err == nil {
			onMember(key, value)
		}
		return err
	})
}

// SplitArray returns the elements of a JSON array. They are not checked. Null has no
// elements.
func SplitArray(text []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := EachElement(text, func(value json.RawMessage) error {
		elements = append(elements, value)
		return nil
	})
	return elements, err
}

// EachElement calls onElement for each element of a JSON array, until it returns an
// error. The elements are not checked. Null has no elements.
func EachElement(text []byte, onElement func(value json.RawMessage) error) error {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	s := &splitter{text: text}
	return s.split('[', ']', func() error {
		value, err := s.value()
		if err != nil {
			return err
		}
		return onElement(value)
	})
}

// split calls next for each of the parts between two brackets.
func (s *splitter) split(open, end byte, next func() error) error {
	if !s.skip(open) {
		return eris.Errorf("the text does not begin with %q", open)
	}
	for first := true; !s.skip(end); first = false {
		if !first && !s.skip(',') {
			return eris.Errorf("no %q after a value", ',')
		}
		if err := next(); err != nil {
			return err
		}
	}
	if s.space(); s.at < len(s.text) {
		return eris.New("more text after the value")
	}
	return nil
}

// space skips white space.
func (s *splitter) space() {
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// skip skips white space and one character, if it is the next one.
func (s *splitter) skip(c byte) bool {
	s.space()
	if s.at < len(s.text) && s.text[s.at] == c {
		s.at++
		return true
	}
	return false
}

// value returns the next value, up to the comma or bracket that follows it. It does
// not recurse, so that the depth of the value does not matter.
func (s *splitter) value() (json.RawMessage, error) {
	s.space()
	start, depth := s.at, 0
	for s.at < len(s.text) {
		switch c := s.text[s.at]; {
		case c == '"':
			if !s.quoted() {
				return nil, errUnbalanced
			}
			continue
		case c == '{' || c == '[':
			depth++
		case depth > 0 && (c == '}' || c == ']'):
			depth--
		case depth == 0 && isDelimiter(c):
			return s.part(start)
		}
		s.at++
	}
	return nil, errUnbalanced
}

// part returns the text since start.
func (s *splitter) part(start int) (json.RawMessage, error) {
	if s.at == start {
		return nil, eris.New("an empty value")
	}
	return json.RawMessage(s.text[start:s.at:s.at]), nil
}

// quoted skips a string and reports whether it ends. Strings are most of a batch, so
// they are searched for a quote and not read character by character. The quote that was
// found is kept while escaped characters precede it, so that the time stays linear.
func (s *splitter) quoted() bool {
	s.at++
	for quote := -1; s.at <= len(s.text); {
		if quote < s.at {
			found := bytes.IndexByte(s.text[s.at:], '"')
			if found < 0 {
				break
			}
			quote = s.at + found
		}
		escape := bytes.IndexByte(s.text[s.at:quote], '\\')
		if escape < 0 {
			s.at = quote + 1
			return true
		}
		s.at += escape + 2
	}
	s.at = len(s.text)
	return false
}

func isDelimiter(c byte) bool {
	switch c {
	case ',', ':', '}', ']', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}
