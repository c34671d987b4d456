package command

import (
	"encoding/json"

	"github.com/bambooknot/bambooknot/rollout"
)

type progressJSON struct {
	Version uint64       `json:"version"`
	Done    bool         `json:"done"`
	Regions []regionJSON `json:"regions"`
}

type regionJSON struct {
	Region  string   `json:"region"`
	InForce int      `json:"in_force"`
	Nodes   int      `json:"nodes"`
	Behind  []string `json:"behind,omitempty"`
}

func progressLine(p rollout.Progress, asJSON bool) string {
	if !asJSON {
		return p.String()
	}
	w := progressJSON{Version: uint64(p.Version()), Done: p.Done(), Regions: []regionJSON{}}
	for _, r := range p.Regions() {
		wr := regionJSON{Region: string(r.Region()), InForce: r.InForce(), Nodes: r.Nodes()}
		for _, l := range r.Laggards() {
			wr.Behind = append(wr.Behind, l.Node().Peer().String())
		}
		w.Regions = append(w.Regions, wr)
	}
	data, err := json.Marshal(w)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
