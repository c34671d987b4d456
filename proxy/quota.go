package proxy

import (
	"net/http"
	"time"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/routing"
)

// ReasonQuota is the reason of the refusal of a request over its organisation's quota.
const ReasonQuota Reason = "quota"

// admitOrganisation asks for the quota of the organisation that a request belongs to. It must be called once for each attempt
// of a caller, right after authentication. If the request is over the quota, it returns the refusal and false.
func (in *Ingress) admitOrganisation(q *request, organisation routing.Organisation) (refusal *exchange.Response, admitted bool) {
	if in.settings.Quota == nil {
		return nil, true
	}
	admitted, retryAfter := in.settings.Quota(organisation)
	if admitted {
		return nil, true
	}
	return in.refuseOverQuota(q, organisation, retryAfter), false
}

// refuseOverQuota returns the response to a request over the quota. Status 429 guarantees that it has not run and never will.
func (in *Ingress) refuseOverQuota(q *request, organisation routing.Organisation, after time.Duration) *exchange.Response {
	result := notRun(ReasonQuota)
	result.retryAfter = after
	q.ending = result
	in.settings.AnsweredLog.Info().Str("kind", "request_refused").Str("request", q.id).Str("reason", string(ReasonQuota)).
		Int("status", http.StatusTooManyRequests).Str("organisation", organisation.Name()).Dur("retry_after", after).
		Uint64("version", q.tableVersion()).Msg("request over the quota refused")
	header := make(http.Header)
	header.Set("Retry-After", retryAfter(result))
	return exchange.NewResponse(http.StatusTooManyRequests, header, nil)
}
