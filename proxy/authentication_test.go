package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/usage"
)

// BenchmarkAuthentication measures what organisations add to a request at the node of its caller: the check of the header,
// the lookup among 100,000 keys, and the counts.
func BenchmarkAuthentication(b *testing.B) {
	organisations, keys := routing.NewOrganisations(), make([][]string, 10_000)
	for i := range keys {
		for k := range 10 {
			keys[i] = append(keys[i], fmt.Sprintf("key-%032d-%d", i, k))
		}
		_ = organisations.Add(routing.NewOrganisation(routing.OrganisationFields{Name: fmt.Sprint("organisation-", i)}), keys[i])
	}
	snapshot, counts := routing.NewSnapshot(routing.NewTable(1, nil, nil, routing.Limits{}).WithOrganisations(organisations), nil), usage.New()
	for i := 0; b.Loop(); i++ {
		r := exchange.NewRequest(http.MethodGet, "/", "a.example", http.Header{"Authorization": {"Bearer " + keys[i%len(keys)][3]}}, nil)
		q := &request{original: r, snapshot: snapshot, identity: newIdentity("web", r)}
		if reason, ok := q.authenticate(); !ok {
			b.Fatal(reason)
		}
		counts.Begin(q.organisation.name)
		counts.End(q.organisation.name, true, "")
	}
}
