package proxy

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/routing"
)

// TestRequestOverQuotaIsRefused guards against a refusal that does not state that the request has not run, or when to retry.
func TestRequestOverQuotaIsRefused(t *testing.T) {
	in := &Ingress{settings: IngressSettings{Quota: func(o routing.Organisation) (bool, time.Duration) {
		return o.Name() == "quiet", 300 * time.Millisecond
	}}}
	organisation := func(name string) routing.Organisation {
		return routing.NewOrganisation(routing.OrganisationFields{Name: name})
	}
	refusal, admitted := in.admitOrganisation(&request{}, organisation("loud"))
	qt.Assert(t, admitted, qt.IsFalse)
	qt.Check(t, refusal.Status(), qt.Equals, http.StatusTooManyRequests)
	qt.Check(t, refusal.Header().Get("Retry-After"), qt.Equals, "0.300")
	_, admitted = in.admitOrganisation(&request{}, organisation("quiet"))
	qt.Check(t, admitted, qt.IsTrue)
}
