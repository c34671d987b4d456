package standin

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// entryFile persists the entries of a Log, so that they survive a restart as those of the platform's log service do.
// A nil entryFile persists nothing.
type entryFile struct {
	file *os.File
}

// storedEntry is the encoding of one entry in the file.
type storedEntry struct {
	Stream   string `cbor:"1,keyasint"`
	UnixNano int64  `cbor:"2,keyasint"`
	Data     []byte `cbor:"3,keyasint"`
}

// PersistTo loads the entries of the file at path, which is created if it does not exist, and writes entries appended
// from then on to it. It must be called before the first request.
func (l *Log) PersistTo(path string) error {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.loadEntries(file); err != nil {
		_ = file.Close()
		return err
	}
	l.file = &entryFile{file: file}
	return nil
}

// loadEntries loads the complete entries of the file and truncates the file after them. An entry that was only partly
// written when the process was killed has never been acknowledged.
func (l *Log) loadEntries(file *os.File) error {
	decoder := cbor.NewDecoder(file)
	validBytes := 0
	for {
		var e storedEntry
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return err
		}
		s, err := l.stream(e.Stream)
		if err != nil {
			return err
		}
		s.add(time.Unix(0, e.UnixNano), e.Data)
		validBytes = decoder.NumBytesRead()
	}
	if err := file.Truncate(int64(validBytes)); err != nil {
		return err
	}
	_, err := file.Seek(int64(validBytes), io.SeekStart)
	return err
}

// write appends an entry to the file.
func (f *entryFile) write(stream string, now time.Time, data []byte) error {
	if f == nil {
		return nil
	}
	encoded, err := cbor.Marshal(storedEntry{Stream: stream, UnixNano: now.UnixNano(), Data: data})
	if err != nil {
		return err
	}
	_, err = f.file.Write(encoded)
	return err
}

func (f *entryFile) close() {
	if f != nil {
		_ = f.file.Close()
	}
}
