package standin

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/timer"
)

func TestLogPersistsEntriesAcrossRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	first := newPersistentLog(t, path)
	qt.Assert(t, appendTo(first, "config", "one"), qt.Equals, `{"offset":0,"end_offset":1}`)
	qt.Assert(t, appendTo(first, "config", "two"), qt.Equals, `{"offset":1,"end_offset":2}`)
	first.Close()

	// A process that is killed during a write leaves a partial entry in the file.
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = file.Write([]byte{0xa3, 0x01, 0x66, 'c', 'o'})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, file.Close(), qt.IsNil)

	second := newPersistentLog(t, path)
	qt.Assert(t, appendTo(second, "config", "three"), qt.Equals, `{"offset":2,"end_offset":3}`)
	second.Close()
	third := newPersistentLog(t, path)
	qt.Assert(t, appendTo(third, "config", "four"), qt.Equals, `{"offset":3,"end_offset":4}`)
	third.Close()
}

// TestLogPersistsNewestAcrossRestart checks that the newest entries of a keyed topic are rebuilt when the file is
// loaded.
func TestLogPersistsNewestAcrossRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	first := newPersistentLog(t, path)
	for _, value := range []string{"old", "new"} {
		appendTo(first, "keyed.op", "\x06config"+value)
	}
	before := readNewest(first, "keyed.op")
	qt.Assert(t, before, qt.Contains, `"offset":1`)
	first.Close()
	second := newPersistentLog(t, path)
	defer second.Close()
	qt.Assert(t, readNewest(second, "keyed.op"), qt.Equals, before)
}

func readNewest(l *Log, topic string) string {
	w := httptest.NewRecorder()
	l.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/log-newest?part=0&topic="+topic, nil))
	return strings.TrimSpace(w.Body.String())
}

func newPersistentLog(t *testing.T, path string) *Log {
	l := NewLog(DefaultLogSettings(), timer.New())
	qt.Assert(t, l.PersistTo(path), qt.IsNil)
	return l
}

func appendTo(l *Log, stream, data string) string {
	w := httptest.NewRecorder()
	entry := append([]byte{0, 0, 0, byte(len(data))}, data...)
	l.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/log-append?part=0&topic="+stream, bytes.NewReader(entry)))
	return strings.TrimSpace(w.Body.String())
}
