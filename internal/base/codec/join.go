package codec

import (
	"bytes"
	"encoding/json"
)

// encoding/json checks and copies a json.RawMessage each time that it encodes a value
// which holds one. The functions of this file join encoded parts without that: a batch
// passes through several such values on its way to the store.

// AppendMember returns a JSON object with one more member, whose value is encoded. The
// object must end with its closing bracket.
func AppendMember(object []byte, key string, value json.RawMessage) []byte {
	open := bytes.TrimSuffix(object, []byte("}"))
	joined := make([]byte, 0, len(object)+len(key)+len(value)+4)
	joined = append(joined, open...)
	if !bytes.HasSuffix(open, []byte("{")) {
		joined = append(joined, ',')
	}
	joined = append(joined, '"')
	joined = append(joined, key...)
	joined = append(joined, '"', ':')
	joined = append(joined, value...)
	return append(joined, '}')
}

// JoinArray returns the JSON array of encoded elements.
func JoinArray(elements []json.RawMessage) json.RawMessage {
	size := len(elements) + 2
	for _, element := range elements {
		size += len(element)
	}
	joined := append(make(json.RawMessage, 0, size), '[')
	for i, element := range elements {
		if i > 0 {
			joined = append(joined, ',')
		}
		joined = append(joined, element...)
	}
	return append(joined, ']')
}
