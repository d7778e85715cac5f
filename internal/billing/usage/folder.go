package usage

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
)

const (
	filePrefix = "usage-"
	fileSuffix = ".log"
)

// folder keeps unsealed records in the data folder, one file for each
// incarnation: a sequence of length-prefixed HoldRequest messages. An
// incomplete message at the end comes from an interrupted write and was never
// confirmed.
type folder struct {
	dir string

	mu      sync.Mutex
	file    *os.File
	size    int64
	through uint64
}

// openFolder gives the records of earlier incarnations to the holder and opens
// the file of this one.
func openFolder(dir, instance, incarnation string, held *holder) (*folder, error) {
	f := &folder{dir: dir}
	names, err := filepath.Glob(filepath.Join(dir, filePrefix+"*"+fileSuffix))
	if err != nil {
		return nil, eris.Wrap(err, "list usage files")
	}
	for _, name := range names {
		if err := readFile(name, instance, held); err != nil {
			return nil, err
		}
		earlier := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(name), filePrefix), fileSuffix)
		if _, unsealed := held.tails[ownerKey{instance, earlier}]; !unsealed {
			f.remove(earlier)
		}
	}
	f.file, err = os.OpenFile(f.filePath(incarnation), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_TRUNC, 0o600)
	return f, eris.Wrap(err, "open usage file")
}

func readFile(name, instance string, held *holder) error {
	raw, err := os.ReadFile(name)
	if err != nil {
		return eris.Wrap(err, "read usage file")
	}
	reader := bufio.NewReader(bytes.NewReader(raw))
	for {
		request := &HoldRequest{}
		if protodelim.UnmarshalFrom(reader, request) != nil || request.Owner != instance {
			return nil
		}
		if _, err := held.Hold(context.Background(), request); err != nil {
			return eris.Wrapf(err, "usage file %s", name)
		}
	}
}

func (f *folder) filePath(incarnation string) string {
	return filepath.Join(f.dir, filePrefix+incarnation+fileSuffix)
}

// append writes the tail's entries that the file does not have and returns
// the index through which it has them.
func (f *folder) append(t tail) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := max(t.base, f.through+1)
	if from > t.through() {
		return f.through, nil
	}
	request := &HoldRequest{Owner: t.owner, Incarnation: t.incarnation, Base: t.base, From: from}
	for _, e := range t.entries[from-t.base:] {
		request.Entries = append(request.Entries, toProto(e))
	}
	var out bytes.Buffer
	if _, err := protodelim.MarshalTo(&out, request); err != nil {
		return f.through, eris.Wrap(err, "encode usage records")
	}
	if err := f.write(out.Bytes()); err != nil {
		// Messages after an incomplete one would not be read.
		_ = f.file.Truncate(f.size)
		return f.through, err
	}
	f.size += int64(out.Len())
	f.through = t.through()
	return f.through, nil
}

func (f *folder) write(raw []byte) error {
	if _, err := f.file.Write(raw); err != nil {
		return eris.Wrap(err, "write usage file")
	}
	return eris.Wrap(f.file.Sync(), "sync usage file")
}

// truncateSealed empties the file if everything in it lies before base, the first index
// that is not sealed. Records that stay are found sealed at the next start.
func (f *folder) truncateSealed(base uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.through < base && f.file.Truncate(0) == nil {
		f.size = 0
	}
}

// remove deletes an earlier incarnation's file. One that stays is read again
// at the next start and found sealed.
func (f *folder) remove(incarnation string) { _ = os.Remove(f.filePath(incarnation)) }
