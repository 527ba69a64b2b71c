// Package relaytest provides a fake relay and fake proxies for tests and the demo, as net/http/httptest provides
// servers for tests of HTTP clients. The relay applies the orders of each call to its State, sends the events and
// acknowledgments of the proxies on event streams, and injects faults into calls. The proxies serve no requests.
package relaytest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"madderhollow/internal/testserver"
)

// Fault is a failure that the relay injects into a call.
type Fault int

// Faults that the relay can inject into a call.
const (
	NoFault             Fault = iota
	AbortBeforeApplying       // no order is applied, and the connection is closed without a response
	AbortAfterApplying        // all orders are applied, and then the connection is closed without a response
	HangBeforeApplying        // no order is applied, and no response is sent until the client disconnects
	HangAfterApplying         // all orders are applied, and no response is sent until the client disconnects
	MalformedResponse         // all orders are applied, and the response is malformed
	HalfApplied               // the first half of the orders is applied, and the response reports their number
	BusyResponse              // no order is applied, and the response is the error BUSY
	SyntaxErrorResponse       // no order is applied, and the response is the error SYNTAX
)

// appliesOrders reports whether the relay applies all or half of the orders of a call with this fault.
func (f Fault) appliesOrders() bool {
	switch f {
	case NoFault, AbortAfterApplying, HangAfterApplying, MalformedResponse, HalfApplied:
		return true
	}
	return false
}

// Proxy is a fake proxy that is connected to the relay.
type Proxy struct {
	Zone              string
	RequestRate       float64        // request rate that the event of its connection reports, in requests per second
	TableByClass      map[string]int // number of the attached table for each request class
	MessageTimes      []time.Time    // times at which calls sent messages to the proxy, in ascending order
	DefaultTablesOnly bool           // whether the proxy held only its default tables when it connected
}

// State is the state of the proxies and tables that results from all applied calls.
type State struct {
	Proxies    map[int]*Proxy             // connected proxies, by their numbers
	Tables     map[int]map[string]float64 // weight of each entry, by table number and endpoint name
	RateLimits map[string]string          // rate limits as written in the orders that set them, by "table,class"
	Ejected    map[string]bool            // whether an endpoint is ejected, by the name of the endpoint

	// ProcessedCalls holds the orders of each call that the relay started to apply, the oldest call first. It includes
	// a call's rejected order and the orders after it. For a call with the fault HalfApplied, it holds only the first
	// half of the orders.
	ProcessedCalls [][]string
}

// Relay is a fake relay. Its methods are safe for concurrent use, except Close and Move.
type Relay struct {
	*testserver.Server

	mu             sync.Mutex // mu guards state, faultFunc and events
	state          State
	requestClasses []string
	faultFunc      func(orders []string) Fault // function that chooses the fault of a call; nil if no call has a fault
	events         broadcaster
	stopped        chan struct{} // channel that Close closes to end the calls that hang because of a fault
}

// New starts a relay that listens at an address. For an empty address it listens at a free port of the loopback
// address. The parameter classes has the names of the request classes. The caller must close the relay.
func New(address string, classes ...string) (*Relay, error) {
	relay := &Relay{
		requestClasses: classes,
		events:         newBroadcaster(),
		stopped:        make(chan struct{}),
		state: State{
			Proxies:    map[int]*Proxy{},
			Tables:     map[int]map[string]float64{},
			RateLimits: map[string]string{},
			Ejected:    map[string]bool{},
		},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+callPath+"{$}", relay.handleCall)
	mux.HandleFunc("GET "+streamPath, relay.handleStream)
	server, err := testserver.New(address, mux)
	if err != nil {
		return nil, fmt.Errorf("fake relay: %w", err)
	}
	relay.Server = server
	return relay, nil
}

// Close stops the relay and closes all its connections. It must be called once.
func (r *Relay) Close() error {
	close(r.stopped)
	if err := r.Server.Close(); err != nil {
		return fmt.Errorf("fake relay: %w", err)
	}
	return nil
}

// SetFault makes the relay call chooseFault with the orders of each call, before it applies any of them, and inject
// the returned fault into the call. If chooseFault is nil, the relay injects no faults.
func (r *Relay) SetFault(chooseFault func(orders []string) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultFunc = chooseFault
}

// Inspect calls f with the state of the relay. The function f may read and change the state until it returns. The
// relay applies no orders while f runs. The function f must not call methods of the relay, because they would wait
// forever for the mutex that Inspect holds.
func (r *Relay) Inspect(f func(state *State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.state)
}

// AllProxiesAttached reports whether at least one proxy is connected, and every connected proxy has an attached
// table for each request class. Each of these tables must have entries, and none may have an entry for
// excludedEndpoint. If excludedEndpoint is empty, the tables may have an entry for any endpoint.
func (r *Relay) AllProxiesAttached(excludedEndpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, proxy := range r.state.Proxies {
		if len(proxy.TableByClass) != len(r.requestClasses) {
			return false
		}
		for _, table := range proxy.TableByClass {
			entries := r.state.Tables[table]
			if len(entries) == 0 || entries[excludedEndpoint] > 0 {
				return false
			}
		}
	}
	return len(r.state.Proxies) > 0
}

// Connect connects a proxy and sends the event of its connection on all streams. The parameter requestRate is in
// requests per second. The parameter defaultTablesOnly states whether the proxy holds only its default tables.
func (r *Relay) Connect(proxyID int, zone string, requestRate float64, defaultTablesOnly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &Proxy{Zone: zone, RequestRate: requestRate, TableByClass: map[string]int{}, DefaultTablesOnly: defaultTablesOnly}
	r.state.Proxies[proxyID] = p
	r.events.send(connectedEvent(proxyID, p))
}

// Disconnect disconnects a proxy and sends the event of its disconnection on all streams.
func (r *Relay) Disconnect(proxyID int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.state.Proxies, proxyID)
	r.events.send(disconnectedEvent(proxyID))
}

// handleCall applies the orders of a call, unless a fault prevents it, and sends the response. The response to a call
// with an action other than commitAction or without orders is the error SYNTAX.
func (r *Relay) handleCall(response http.ResponseWriter, request *http.Request) {
	if request.PostFormValue(actionField) != commitAction || request.PostFormValue(ordersField) == "" {
		writeError(response, syntaxCode)
		return
	}
	orders := strings.Split(request.PostFormValue(ordersField), orderSeparator)
	fault := r.chooseFault(orders)
	if fault == HalfApplied {
		orders = orders[:len(orders)/2]
	}
	applied := 0
	if fault.appliesOrders() {
		applied = r.applyCall(orders)
	}
	r.respond(response, request, fault, applied)
}

// respond sends the response to a call: the number of applied orders, or the failure that the fault selects.
func (r *Relay) respond(response http.ResponseWriter, request *http.Request, fault Fault, applied int) {
	switch fault {
	case AbortBeforeApplying, AbortAfterApplying:
		panic(http.ErrAbortHandler) // the panic closes the connection without a response
	case HangBeforeApplying, HangAfterApplying:
		select {
		case <-request.Context().Done():
		case <-r.stopped:
		}
		panic(http.ErrAbortHandler)
	case MalformedResponse:
		writeText(response, truncatedResponse)
	case BusyResponse:
		writeError(response, busyCode)
	case SyntaxErrorResponse:
		writeError(response, syntaxCode)
	default:
		response.Header().Set("Content-Type", "text/xml")
		writeText(response, fmt.Sprintf(appliedResponseFormat, applied))
	}
}

// chooseFault returns the fault to inject into a call with the given orders.
func (r *Relay) chooseFault(orders []string) Fault {
	r.mu.Lock()
	faultFunc := r.faultFunc
	r.mu.Unlock()
	if faultFunc == nil {
		return NoFault
	}
	return faultFunc(orders)
}

// writeText writes a part of a response. It ignores write errors, which mean that the client has disconnected.
func writeText(w http.ResponseWriter, text string) {
	_, _ = fmt.Fprint(w, text)
}

// writeError sends a response with an error code of the relay's protocol and the HTTP status 400.
func writeError(w http.ResponseWriter, code string) {
	w.WriteHeader(http.StatusBadRequest)
	writeText(w, fmt.Sprintf(errorResponseFormat, code))
}
