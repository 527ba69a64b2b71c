// Package discoverytest provides a fake discovery agent for tests and for the demo program. The agent responds to
// requests for the full endpoint list, and to long polls for the changes after a version.
package discoverytest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"madderhollow/internal/testserver"
)

// Names that the discovery protocol defines for requests.
const (
	listPath       = "/v1/servers"
	afterParameter = "after"   // version after which changes are requested; without it the full list is requested
	waitParameter  = "wait_ms" // longest time to wait for a change before the response, in ms
)

// States of an endpoint, as encoded in the field State of Endpoint.
const (
	Ready    = "active"  // state of an endpoint that accepts requests
	Draining = "leaving" // state of an endpoint that must not receive new requests
	Removed  = "left"    // state of an endpoint that is no longer in the list
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Group       int     `json:"group"`    // number of the machine group of the endpoint
	State       string  `json:"status"`   // state of the endpoint: Ready, Draining or Removed
	Weight      float64 `json:"weight"`   // capacity of the endpoint relative to other endpoints
	StartedAt   int64   `json:"since_ms"` // Unix time at which the endpoint started, in ms
}

// ListResponse is the JSON body of the agent's response to a request: the full list, or the changes after a version.
type ListResponse struct {
	Version   int64      `json:"index"`     // version of the list after the changes
	Full      bool       `json:"snapshot"`  // whether Endpoints is the full list instead of the changed entries
	Endpoints []Endpoint `json:"endpoints"` // entries of the full list, or the changed entries
}

// Agent is a fake discovery agent. Its methods may be called by several goroutines at once. The embedded server can
// move the agent to another address.
type Agent struct {
	*testserver.Server

	mu                 sync.Mutex                                    // mu guards all fields below
	interceptor        func(http.ResponseWriter, *http.Request) bool // function called before each response; may be nil
	version            int64                                         // version of the endpoint list
	entries            []Endpoint                                    // entries of the list, including removed endpoints
	lastChangeVersions map[string]int64                              // list version of last change, by endpoint name
	listChanged        chan struct{}                                 // channel closed and replaced at each list change
	lastRequestHost    string                                        // host and port to which the last request was sent
}

// New starts an agent with the given list and list version at an address. If the address is empty, the agent uses a
// free port on the loopback address. The caller must close the agent.
func New(address string, version int64, list ...Endpoint) (*Agent, error) {
	a := &Agent{version: version, entries: list, lastChangeVersions: map[string]int64{}, listChanged: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, a.serveList)
	server, err := testserver.New(address, mux)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	a.Server = server
	return a, nil
}

// SetInterceptor sets a function that is called for each request before the agent handles it. If the function returns
// true, it has handled the request. If it returns false, the agent sends the usual response.
func (a *Agent) SetInterceptor(f func(http.ResponseWriter, *http.Request) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interceptor = f
}

// LastRequestHost returns the host and port to which the last request was sent, or "" before the first request.
func (a *Agent) LastRequestHost() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastRequestHost
}

// List returns the full list, including removed endpoints.
func (a *Agent) List() ListResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ListResponse{a.version, true, slices.Clone(a.entries)}
}

// PutEndpoints adds entries to the list, or replaces the entries with the same names, and increments the list
// version. A removed endpoint appears in responses with changes, but not in responses with the full list.
func (a *Agent) PutEndpoints(entries ...Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, entry := range entries {
		a.entries = slices.DeleteFunc(a.entries, func(other Endpoint) bool { return other.Name == entry.Name })
		a.entries = append(a.entries, entry)
		a.lastChangeVersions[entry.Name] = a.version
	}
	a.endLongPolls()
}

// RestartVersions sets the list version and forgets all changes. It simulates a restart of an agent that counts its
// versions from the beginning.
func (a *Agent) RestartVersions(version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = version
	a.lastChangeVersions = map[string]int64{}
	a.endLongPolls()
}

// endLongPolls ends the pending long polls. The caller must hold a.mu.
func (a *Agent) endLongPolls() {
	close(a.listChanged)
	a.listChanged = make(chan struct{})
}

// serveList responds to a request for the full list or for changes, unless the interceptor handles the request.
func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	intercept := a.interceptor
	a.lastRequestHost = r.Host
	a.mu.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.responseTo(r)) // an error means that the client has disconnected
}

// responseTo returns the response to a request. It blocks while a long poll waits for a change. The response to a
// request without a version, or with a version above the current version, is the full list.
func (a *Agent) responseTo(request *http.Request) ListResponse {
	response := a.List()
	afterVersion, err := strconv.ParseInt(request.FormValue(afterParameter), 10, 64)
	if err != nil || afterVersion > response.Version {
		response.Endpoints = slices.DeleteFunc(response.Endpoints, func(e Endpoint) bool { return e.State == Removed })
		return response
	}
	wait, err := strconv.Atoi(request.FormValue(waitParameter))
	if err != nil {
		wait = 0
	}
	a.waitForChange(afterVersion, time.Duration(wait)*time.Millisecond, request.Context().Done())
	return a.changesSince(afterVersion)
}

// waitForChange blocks until the list changes, the timeout has passed or the client has disconnected. It returns
// immediately if the list does not have the given version any more.
func (a *Agent) waitForChange(afterVersion int64, timeout time.Duration, disconnected <-chan struct{}) {
	a.mu.Lock()
	listChanged, version := a.listChanged, a.version
	a.mu.Unlock()
	if version != afterVersion {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-listChanged:
	case <-timer.C:
	case <-disconnected:
	}
}

// changesSince returns a response with the entries that changed after the given version.
func (a *Agent) changesSince(afterVersion int64) ListResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := ListResponse{Version: a.version}
	for _, entry := range a.entries {
		if a.lastChangeVersions[entry.Name] > afterVersion {
			changes.Endpoints = append(changes.Endpoints, entry)
		}
	}
	return changes
}
