package caller_test

import (
	"context"
	"fmt"
	"net/http"

	"github.com/bambooknot/bambooknot/call"
	"github.com/bambooknot/bambooknot/caller"
)

// A commission runs at most once, even if nodes or connections fail.
func ExampleClient_Do() {
	node, stop := startNode()
	defer stop()
	client := caller.New(caller.Settings{Node: node})
	defer client.Close()

	result := client.Do(context.Background(), caller.Call{
		Method: http.MethodPost, Path: "/commission", Route: "commission", Keyed: true, Body: []byte("gate 17"),
	})
	switch result.Outcome() {
	case call.OutcomeAnswered:
		fmt.Println(result.Status(), string(result.Body()))
	case call.OutcomeNotRun:
		fmt.Println("did not run; safe to call again after", result.RetryAfter())
	case call.OutcomeUnknown:
		fmt.Println("may have run; look it up, or ask again with key", result.Key())
	case call.OutcomeBad:
		fmt.Println("wrong call:", string(result.Body()))
	}
	// Output:
	// 200 done POST /commission
	// gate 17
}
