package runner

import (
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// maxPageFraction is the fraction of the largest record that the results of a
	// page may take, as they are encoded.
	maxPageFraction = 0.6
	// maxResultFraction is the fraction of the largest record that a single result may
	// take. The rest is for the page and the record around it.
	maxResultFraction = 0.9
	// resultOverhead is the most that the field names and the punctuation of a result
	// take, in bytes.
	resultOverhead = 96
	// versionSize is the most that a version takes with its separator, in bytes.
	versionSize = 21
	// escapedSize is the size in bytes of a character that JSON escapes by its number.
	escapedSize = len(`\u0000`)
)

// maxPageBytes returns how much the results of a page may take in a store whose records
// hold at most valueBytes.
func maxPageBytes(valueBytes int) int { return int(maxPageFraction * float64(valueBytes)) }

// storable returns the result, or that of an item that is given up if a record of the
// store cannot hold it.
func (r *Runner) storable(result batch.Result) batch.Result {
	size := resultSize(result)
	if float64(size) <= maxResultFraction*float64(r.seams.ValueBytes) {
		return result
	}
	r.log.WithFields(logrus.Fields{
		logs.Request: result.ID, "bytes": size, "limit": r.seams.ValueBytes,
	}).Warn("item given up: its result exceeds the largest record")
	return batch.Result{ID: result.ID}
}

// resultSize returns an upper bound of the encoded size of a result, in bytes.
func resultSize(result batch.Result) int {
	return resultOverhead + versionSize*len(result.Versions) +
		encodedSize(result.ID) + encodedSize(result.Output) + encodedSize(result.Score)
}

// encodedSize returns the size of a text in JSON without its quotes, in bytes, as
// package encoding/json writes it.
func encodedSize(text string) int {
	size := 0
	for i, c := range text {
		switch {
		case c == '"' || c == '\\' || c == '\n' || c == '\r' || c == '\t' || c == '\b' || c == '\f':
			size += 2
		case c < ' ' || c == '<' || c == '>' || c == '&' || c == '\u2028' || c == '\u2029':
			size += escapedSize
		case c == utf8.RuneError:
			size += runeErrorSize(text[i:])
		default:
			size += utf8.RuneLen(c)
		}
	}
	return size
}

// runeErrorSize returns the size of the replacement character at the beginning of a
// text, which is escaped if it stands for bytes that are not UTF-8.
func runeErrorSize(text string) int {
	if _, width := utf8.DecodeRuneInString(text); width > 1 {
		return width
	}
	return escapedSize
}
