package catalog_test

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// A program that reads the log applies its entries and makes the same decisions as every other reader.
func ExampleState_Apply() {
	state := catalog.New()
	route := func(name, service string) record.Record {
		return record.NewRoute2(name, "/"+name, service, true, time.Second, nil, record.Objective{})
	}
	for i, puts := range [][]record.Record{
		{record.NewService(record.Schema2, "narudzbe", 18), route("katalog", "narudzbe")},
		{record.NewService(record.Schema2, "radionica", 18), route("termin", "radionca")},
	} {
		change := record.NewChangeSet(uuid.UUID{15: byte(i + 1)}, "ana", state.Version(), puts, nil)
		data, err := codec.EncodeChange(change)
		if err != nil {
			panic(err)
		}
		result, err := state.Apply(record.NewEntry(state.Head(), data))
		if err != nil {
			panic(err) // a gap, or a schema level that this program does not understand; the state is unchanged
		}
		outcome, _ := result.Outcome()
		fmt.Println("accepted:", outcome.Accepted(), "version:", state.Version())
		for _, f := range outcome.Faults() {
			fmt.Println(f.Reason(), f.Record(), f.Field())
		}
	}
	snapshot := state.Snapshot() // immutable, for use by other goroutines
	_, found := snapshot.Record(record.NewID(record.KindService, "radionica"))
	fmt.Println("records:", len(snapshot.Records()), "radionica:", found)
	// Output:
	// accepted: true version: 1
	// accepted: false version: 1
	// dangling route/termin service
	// records: 2 radionica: false
}
