package standin

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// entryFile keeps the entries of a Log in a file, so that they survive the process as those of the
// platform's log do.
type entryFile struct {
	file *os.File
}

// storedEntry is the wire form of one entry in the file.
type storedEntry struct {
	Stream string `cbor:"1,keyasint"`
	UnixNano   int64  `cbor:"2,keyasint"` // nanoseconds
	Data   []byte `cbor:"3,keyasint"`
}

// PersistTo loads the entries in the file at path, which is created if there is none, and keeps those
// appended from now on in it. It must be called before the first request.
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

// loadEntries takes in whole entries. One that a kill cut short was never acknowledged and is cut off.
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

// write adds an entry to the file, if there is one.
func (s *entryFile) write(stream string, now time.Time, data []byte) error {
	if s == nil {
		return nil
	}
	encoded, err := cbor.Marshal(storedEntry{Stream: stream, UnixNano: now.UnixNano(), Data: data})
	if err != nil {
		return err
	}
	_, err = s.file.Write(encoded)
	return err
}

func (s *entryFile) close() {
	if s != nil {
		_ = s.file.Close()
	}
}
