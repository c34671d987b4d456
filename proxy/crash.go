package proxy

import (
	"github.com/bambooknot/bambooknot/crash"
)

// maxLoggedRequests bounds the requests in the log line of a crash.
const maxLoggedRequests = 32

// recordCrash handles the end of the server while it was running requests.
func (o *Owner) recordCrash(r crash.Report) {
	o.settings.OnCrash(r.Server(), r.Identities())
	var requests, contents []string
	for _, request := range r.Requests()[:min(len(r.Requests()), maxLoggedRequests)] {
		requests, contents = append(requests, request.ID()), append(contents, request.Identity().Content().String())
	}
	o.scope.Counter("server_crashes").Inc(1)
	o.settings.Log.Warn().Str("kind", "server_crashed").Str("server", r.Process().ID()).Int64("started", r.Process().Started()).Int("running", len(r.Requests())).
		Strs("requests", requests).Strs("contents", contents).Msg("the server's process ended while it was running requests")
}
