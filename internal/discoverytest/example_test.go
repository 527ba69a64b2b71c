package discoverytest_test

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"os"

	"madderhollow/internal/discoverytest"
)

// This example shows that a client with version 1 of the list receives only the entries that changed after version 1.
func Example() {
	agent, err := discoverytest.New("", 1, discoverytest.Endpoint{Name: "server-1", Zone: "zone-a", State: discoverytest.Ready})
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = agent.Close() }()
	agent.PutEndpoints(discoverytest.Endpoint{Name: "server-2", Zone: "zone-a", State: discoverytest.Draining})

	response, err := http.Get(fmt.Sprintf("http://%s/v1/servers?after=1&wait_ms=1000", agent.Address()))
	if err != nil {
		log.Print(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		log.Print(err)
	}
	// Output:
	// {"index":2,"snapshot":false,"endpoints":[{"name":"server-2","address":"","zone":"zone-a","type":"","group":0,"status":"leaving","weight":0,"since_ms":0}]}
}
