package call

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// KeysPath is the path on the callers' port at which request keys are issued. Its query arguments are route
// or path, and count.
const KeysPath = "/bambooknot/keys"

// MaxKeys is the maximum number of keys issued per request.
const MaxKeys = 100

// issuedKeys is the response body of KeysPath.
type issuedKeys struct {
	Keys []string `json:"keys"`
}

// serveKeys issues request keys for a route. Each key names the node of a ready backend server.
func (i *Ingress) serveKeys(w http.ResponseWriter, r *http.Request, snap *message.Snapshot) {
	route, count, f := keyArguments(r, snap)
	if f != nil {
		i.fail(w, *f)
		return
	}
	keys := i.issueKeys(snap, route, count)
	if len(keys) == 0 {
		i.fail(w, notRun(ReasonNoServer, "no backend server of "+route.Service()+" is ready"))
		return
	}
	i.counters.keysIssued.Inc(int64(len(keys)))
	h := w.Header()
	setHeader(h, "Content-Type", "application/json")
	setHeader(h, "Cache-Control", "no-store")
	setHeader(h, HeaderOutcome, string(OutcomeAnswered))
	_ = json.NewEncoder(w).Encode(issuedKeys{Keys: keys})
}

func keyArguments(r *http.Request, snap *message.Snapshot) (record.Route, int, *failure) {
	query := r.URL.Query()
	count := 1
	if text := query.Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > MaxKeys {
			f := bad(http.StatusBadRequest, ReasonBadArgument, "count must be between 1 and "+strconv.Itoa(MaxKeys))
			return record.Route{}, 0, &f
		}
		count = n
	}
	route, ok := routeByNameOrPath(snap, query.Get("route"), query.Get("path"))
	if !ok {
		f := bad(http.StatusNotFound, ReasonNoRoute, "no route has that name or matches that path")
		return record.Route{}, 0, &f
	}
	if route.Idempotent() {
		f := bad(http.StatusBadRequest, ReasonBadArgument, "calls on the route "+route.Name()+" need no key")
		return record.Route{}, 0, &f
	}
	return route, count, nil
}

func routeByNameOrPath(snap *message.Snapshot, name, path string) (record.Route, bool) {
	if name == "" {
		return snap.Config().Match(path)
	}
	r, ok := snap.Config().Record(record.NewID(record.KindRoute, name))
	if !ok {
		return record.Route{}, false
	}
	route, ok := r.(record.Route)
	return route, ok
}

func (i *Ingress) issueKeys(snap *message.Snapshot, route record.Route, count int) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.settings.Timers.Now()
	keys := make([]string, 0, count)
	for range count {
		owner, ok := i.balance.Choose(now, snap.View(), route.Service(), nil)
		if !ok {
			return keys
		}
		i.balance.RecordExpected(now, owner.Key())
		keys = append(keys, ledger.NewKey(i.settings.Fleet, ledger.TagOf(owner.Key()), now, i.rnd).String())
	}
	return keys
}
