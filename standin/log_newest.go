package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// keyedPrefix marks topics whose newest entry of each key is exempt from retention.
const keyedPrefix = "keyed."

// maxNewestItems bounds the entries in one response.
const maxNewestItems = 500

// keyedEntry is the newest entry of a key.
type keyedEntry struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

type newestPage struct {
	Items []keyedEntry `json:"items"`
	More  bool         `json:"has_more"`
	End   uint64       `json:"end_offset"`
}

// updateNewest records an entry of a keyed topic as the newest of its key. The entry consists of the length of the key
// in one byte, the key and the value. An entry without a value is a tombstone and removes the key.
func (s *logStream) updateNewest(data []byte, offset uint64) {
	if len(data) == 0 || len(data) < 1+int(data[0]) {
		return
	}
	key, value := string(data[1:1+data[0]]), data[1+data[0]:]
	i, found := slices.BinarySearchFunc(s.newest, key, func(e keyedEntry, k string) int { return strings.Compare(e.Key, k) })
	switch e := (keyedEntry{Key: key, Value: value, Offset: offset}); {
	case len(value) == 0 && found:
		s.newest = slices.Delete(s.newest, i, i+1)
	case len(value) == 0:
	case found:
		s.newest[i] = e
	default:
		s.newest = slices.Insert(s.newest, i, e)
	}
}

func (l *Log) serveNewest(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	after := r.FormValue("after")
	l.mu.Lock()
	s, err := l.stream(r.FormValue("topic"))
	if err != nil {
		l.mu.Unlock()
		writeError(w, http.StatusBadRequest, err)
		return
	}
	page := newestPage{Items: []keyedEntry{}, End: s.nextOffset()}
	for _, e := range s.newest {
		if e.Key <= after && after != "" {
			continue
		}
		if len(page.Items) == maxNewestItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, e)
	}
	l.mu.Unlock()
	writeStatusJSON(w, http.StatusOK, page)
}

func (l *Log) serveTrim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseUint(r.FormValue("before"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	if err := l.Trim(r.FormValue("topic"), before); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	writeStatusJSON(w, http.StatusOK, struct{}{})
}
