package relaytest_test

import (
	"fmt"
	"log"
	"net/http"
	"net/url"

	"madderhollow/internal/relaytest"
)

// This example sends one call to the relay. The orders of the call set the weight of an endpoint in table 7 and attach
// table 7 to proxy 1 for all request classes.
func Example() {
	relay, err := relaytest.New("", "read", "write")
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = relay.Close() }()
	relay.Connect(1, "zone-a", 20, true)

	call := url.Values{"Action": {"CommitChanges"}, "orders": {"put,7,server-1,0.5;attach,1,7,*"}}
	response, err := http.PostForm("http://"+relay.Address()+"/", call)
	if err != nil {
		log.Print(err)
		return
	}
	_ = response.Body.Close()

	relay.Inspect(func(state *relaytest.State) {
		fmt.Println("weights:", state.Tables[7])
		fmt.Println("tables of proxy 1:", state.Proxies[1].TableByClass)
	})
	// Output:
	// weights: map[server-1:0.5]
	// tables of proxy 1: map[read:7 write:7]
}
