package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/bambooknot/bambooknot/usage"
)

// OrganisationsPath is the path of the requests by organisation on a sidecar's metrics port.
const OrganisationsPath = "/organisations"

type organisationJSON struct {
	Name          string           `json:"name"`
	Organisations int              `json:"organisations"`
	Asked         int64            `json:"asked"`
	Answered      int64            `json:"answered"`
	Waiting       int64            `json:"waiting"`
	Refused       map[string]int64 `json:"refused"`
}

// WriteOrganisations writes the requests of organisations as JSON.
func WriteOrganisations(w io.Writer, list []usage.Row) error {
	rows := make([]organisationJSON, 0, len(list))
	for _, r := range list {
		rows = append(rows, organisationJSON{Name: r.Name, Organisations: r.Organisations, Asked: r.Asked, Answered: r.Answered, Waiting: r.Waiting, Refused: r.Refused})
	}
	return json.NewEncoder(w).Encode(rows)
}

// OrganisationClient asks one sidecar for the requests of organisations.
type OrganisationClient struct{ port metricsPort }

// NewOrganisationClient returns a client of the metrics port at the given address.
func NewOrganisationClient(address netip.AddrPort, client *http.Client) *OrganisationClient {
	return &OrganisationClient{port: metricsPort{step: "operator.organisations", address: address, httpClient: client}}
}

// List returns the requests of the loudest organisations, and the sum of the others.
func (c *OrganisationClient) List(ctx context.Context) ([]usage.Row, error) {
	var rows []organisationJSON
	if err := c.port.get(ctx, OrganisationsPath, &rows); err != nil {
		return nil, err
	}
	var list []usage.Row
	for _, r := range rows {
		list = append(list, usage.Row{Name: r.Name, Organisations: r.Organisations, Asked: r.Asked, Answered: r.Answered, Waiting: r.Waiting, Refused: r.Refused})
	}
	return list, nil
}
