package runner

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// keptTexts bounds the memory of texts that are kept in case that they are needed again:
// those of listed items, and in a standby all texts. The text that was kept or grew least
// recently is dropped first. It is not safe for concurrent use.
type keptTexts struct {
	limit, used int64
	sizes       *simplelru.LRU[*task, int64]
}

// pieceOverhead is the memory of a piece of a text besides its bytes.
const pieceOverhead = 24

func newKeptTexts(limit int64) *keptTexts {
	sizes, err := simplelru.NewLRU[*task, int64](math.MaxInt32, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &keptTexts{limit: limit, sizes: sizes}
}

// memorySize returns an estimate of the memory that the text takes, in bytes.
func (t text) memorySize() int64 { return int64(t.size + pieceOverhead*len(t.pieces)) }

// keep counts the present text of a task, and drops others until the limit is kept.
func (k *keptTexts) keep(t *task) {
	k.forget(t)
	size := t.text.memorySize()
	k.sizes.Add(t, size)
	k.used += size
	for k.used > k.limit && k.sizes.Len() > 1 {
		oldest, size, _ := k.sizes.RemoveOldest()
		k.used -= size
		oldest.text = text{}
	}
}

// forget stops counting the text of a task.
func (k *keptTexts) forget(t *task) {
	if size, known := k.sizes.Peek(t); known {
		k.used -= size
		k.sizes.Remove(t)
	}
}

// forgetAll stops counting all texts.
func (k *keptTexts) forgetAll() {
	k.sizes.Purge()
	k.used = 0
}

// encodedPage is a page as JSON; nil after it was dropped from memory.
type encodedPage struct{ body []byte }

// pageMemory bounds the memory of the encoded pages of all batches. The pages that were
// added first are dropped first. It is not safe for concurrent use.
type pageMemory struct {
	limit, used int64
	pages       []*encodedPage // in the order in which they were added
}

// add counts a page, and drops others until the limit is kept.
func (m *pageMemory) add(body []byte) *encodedPage {
	page := &encodedPage{body: body}
	m.pages = append(m.pages, page)
	m.used += int64(len(body))
	for len(m.pages) > 1 && (m.used > m.limit || m.pages[0].body == nil) {
		m.drop(m.pages[0])
		m.pages = m.pages[1:]
	}
	return page
}

// drop drops a page from memory.
func (m *pageMemory) drop(page *encodedPage) {
	m.used -= int64(len(page.body))
	page.body = nil
}

// dropAll drops all pages of a batch from memory.
func (m *pageMemory) dropAll(j *job) {
	for _, page := range j.encodedPages {
		m.drop(page)
	}
}
