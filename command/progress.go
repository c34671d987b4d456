package command

import (
	"encoding/json"

	"github.com/bambooknot/bambooknot/progress"
)

// progressJSON is the progress of a version as printed by --json.
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

// progressLine returns the progress as a line of text or of JSON.
func progressLine(p progress.Progress, asJSON bool) string {
	if !asJSON {
		return p.String()
	}
	line := progressJSON{Version: uint64(p.Version()), Done: p.Done(), Regions: []regionJSON{}}
	for _, r := range p.Regions() {
		region := regionJSON{Region: string(r.Region()), InForce: r.InForce(), Nodes: r.Nodes()}
		for _, l := range r.Laggards() {
			region.Behind = append(region.Behind, l.Node().Peer().String())
		}
		line.Regions = append(line.Regions, region)
	}
	data, err := json.Marshal(line)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
