// Package relaytest provides a fake relay with its proxies for tests and the demo, as net/http/httptest does for HTTP. It
// applies the orders of calls to its State, sends proxies' events and acknowledgments on event streams, and injects faults.
// Its proxies serve no requests.
package relaytest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"madderhollow/internal/testserver"
)

// Fault is a failure of one call.
type Fault int

// The faults of a call.
const (
	NoFault       Fault = iota
	ResetBefore         // no order is applied, the connection is reset
	ResetAfter          // all orders are applied, then the connection is reset
	SilentBefore        // no order is applied, no answer is sent
	SilentAfter         // all orders are applied, no answer is sent
	GarbledAnswer       // all orders are applied, the answer is malformed
	HalfApplied         // the first half of the orders is applied, the next one is rejected
	BusyAnswer          // no order is applied, the answer is the error BUSY
	SyntaxAnswer        // no order is applied, the answer is the error SYNTAX
)

// appliesOrders reports whether the orders, or half of them, are applied.
func (f Fault) appliesOrders() bool {
	switch f {
	case NoFault, ResetAfter, SilentAfter, GarbledAnswer, HalfApplied:
		return true
	}
	return false
}

// Proxy is a connected proxy.
type Proxy struct {
	Zone     string
	Rate     float64        // requests per second at its connection
	Tables   map[string]int // attached table by request class
	Messages []time.Time    // when calls reached it, since it connected
	Fresh    bool           // it held no assigned table when it connected
}

// State is the result of all calls.
type State struct {
	Proxies map[int]*Proxy             // connected, by number
	Tables  map[int]map[string]float64 // weights by table and endpoint
	Limits  map[string]string          // rate limits by "table,class", as written in the order
	Ejected map[string]bool            // by endpoint
	Calls   [][]string                 // orders of the calls that were applied, the oldest first
}

// Relay is a fake relay. Several goroutines may call its methods.
type Relay struct {
	*testserver.Server

	mu      sync.Mutex
	state   State
	classes []string
	fault   func(orders []string) Fault
	events  broadcaster
	stopped chan struct{}
}

// New starts a relay at an address; an empty address stands for a free port on the loopback address. The classes are the
// request classes of its proxies. The caller closes the relay.
func New(address string, classes ...string) (*Relay, error) {
	relay := &Relay{
		classes: classes,
		events:  newBroadcaster(),
		stopped: make(chan struct{}),
		state: State{
			Proxies: map[int]*Proxy{},
			Tables:  map[int]map[string]float64{},
			Limits:  map[string]string{},
			Ejected: map[string]bool{},
		},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+callPath+"{$}", relay.serveCall)
	mux.HandleFunc("GET "+streamPath, relay.serveStream)
	server, err := testserver.New(address, mux)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	relay.Server = server
	return relay, nil
}

// Close stops the relay and closes all its connections. It must be called once.
func (r *Relay) Close() error {
	close(r.stopped)
	if err := r.Server.Close(); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return nil
}

// SetFault makes f choose the fault of each call before any of its orders is applied. With nil no call fails.
func (r *Relay) SetFault(f func(orders []string) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Inspect calls f with the state, which f may read and change until it returns. No call is applied meanwhile, and f must
// not call methods of the relay.
func (r *Relay) Inspect(f func(state *State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.state)
}

// AllAttached reports whether a proxy is connected, and every connected proxy has a table with entries for each request class,
// in which the endpoint without has no weight. An empty name excludes no endpoint.
func (r *Relay) AllAttached(without string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, proxy := range r.state.Proxies {
		if len(proxy.Tables) != len(r.classes) {
			return false
		}
		for _, table := range proxy.Tables {
			entries := r.state.Tables[table]
			if len(entries) == 0 || entries[without] > 0 {
				return false
			}
		}
	}
	return len(r.state.Proxies) > 0
}

// Connect connects a proxy and sends the event. A fresh proxy holds no assigned table yet.
func (r *Relay) Connect(id int, zone string, rate float64, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &Proxy{Zone: zone, Rate: rate, Tables: map[string]int{}, Fresh: fresh}
	r.state.Proxies[id] = p
	r.events.send(connectedEvent(id, p))
}

// Disconnect disconnects a proxy and sends the event.
func (r *Relay) Disconnect(id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.state.Proxies, id)
	r.events.send(disconnectedEvent(id))
}

// serveCall applies the orders of a call and answers with the number of applied orders.
func (r *Relay) serveCall(response http.ResponseWriter, request *http.Request) {
	if request.PostFormValue(actionField) != commitAction || request.PostFormValue(ordersField) == "" {
		answerError(response, syntaxCode)
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
	r.answerCall(response, request, fault, applied)
}

// answerCall answers a call with the number of applied orders, or fails as its fault says.
func (r *Relay) answerCall(response http.ResponseWriter, request *http.Request, fault Fault, applied int) {
	switch fault {
	case ResetBefore, ResetAfter:
		panic(http.ErrAbortHandler) // resets the connection
	case SilentBefore, SilentAfter:
		select {
		case <-request.Context().Done():
		case <-r.stopped:
		}
		panic(http.ErrAbortHandler)
	case GarbledAnswer:
		answer(response, truncatedAnswerText)
	case BusyAnswer:
		answerError(response, busyCode)
	case SyntaxAnswer:
		answerError(response, syntaxCode)
	default:
		response.Header().Set("Content-Type", "text/xml")
		answer(response, fmt.Sprintf(appliedFormat, applied))
	}
}

// chooseFault returns the fault of a call with these orders.
func (r *Relay) chooseFault(orders []string) Fault {
	r.mu.Lock()
	fault := r.fault
	r.mu.Unlock()
	if fault == nil {
		return NoFault
	}
	return fault(orders)
}

// answer writes a part of a response. A write error means that the client has disconnected.
func answer(w http.ResponseWriter, text string) {
	_, _ = fmt.Fprint(w, text)
}

// answerError answers with an error code of the protocol.
func answerError(w http.ResponseWriter, code string) {
	w.WriteHeader(http.StatusBadRequest)
	answer(w, fmt.Sprintf(errorFormat, code))
}
