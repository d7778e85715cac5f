package batch

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/http"
	"slices"
	"strconv"
)

// Owner is whose items may go on with the texts of a batch: its client account. A batch
// without an account shares its texts with no other batch.
type Owner struct{ Account, Batch string }

// Owner returns whose items may go on with the texts of the batch.
func (b *Batch) Owner() Owner {
	if b.Account == "" {
		return Owner{Batch: b.ID}
	}
	return Owner{Account: b.Account}
}

// TextKey returns the key under which the text of an item of the batch is kept beyond
// a run: a digest of the owner, the item's id, the model and the item's input. Accounts
// choose ids and inputs, so that the digest is cryptographic and each of its fields has
// its length before it.
func (b *Batch) TextKey(item *Item) string {
	d := keyDigest{sha256.New()}
	owner := b.Owner()
	d.add(owner.Account, owner.Batch, b.Model, b.Host)
	d.add(item.ID, item.Path, strconv.FormatInt(item.MaxTokens, 10))
	fields := make([][2]string, 0, len(item.Header))
	for name, value := range item.Header {
		fields = append(fields, [2]string{http.CanonicalHeaderKey(name), value})
	}
	slices.SortFunc(fields, func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	d.add(strconv.Itoa(len(fields)))
	for _, field := range fields {
		d.add(field[:]...)
	}
	d.add(string(item.Body))
	return hex.EncodeToString(d.Sum(nil))
}

// keyDigest is a digest of fields.
type keyDigest struct{ hash.Hash }

// add adds fields, each with its length before it.
func (d keyDigest) add(fields ...string) {
	for _, field := range fields {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(len(field)))) // a hash returns no errors
		_, _ = d.Write([]byte(field))
	}
}
