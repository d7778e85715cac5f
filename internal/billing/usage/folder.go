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

// folder keeps unsealed records in the data folder. Each incarnation has one
// file, a sequence of length-prefixed HoldRequest messages. An incomplete message
// at the end comes from an interrupted write; its records were never
// acknowledged.
type folder struct {
	dir string

	mu      sync.Mutex
	file    *os.File
	size    int64  // of the complete messages in file
	through uint64 // the last index written
}

// openFolder passes the records of earlier incarnations to held, which seals them
// later, and opens the file of this incarnation.
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

// readFile passes the records of one file to held. It stops without error at an
// incomplete message and at one of another owner.
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
			return eris.Wrapf(err, "load usage file %s", name)
		}
	}
}

func (f *folder) filePath(incarnation string) string {
	return filepath.Join(f.dir, filePrefix+incarnation+fileSuffix)
}

// append writes those entries of the tail that the file does not have. It
// returns the last index in the file.
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
		// Remove the incomplete message: readFile stops there and would skip
		// the messages after it.
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

// truncateSealed empties the file if all its records are sealed, that is, if their
// indexes are below base. Sealed records that remain in the file do no harm: the
// next start finds that they are sealed.
func (f *folder) truncateSealed(base uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.through < base && f.file.Truncate(0) == nil {
		f.size = 0
	}
}

// remove deletes the file of an earlier incarnation, whose records are sealed. If
// that fails, the next start reads the file again and finds that they are sealed.
func (f *folder) remove(incarnation string) { _ = os.Remove(f.filePath(incarnation)) }
