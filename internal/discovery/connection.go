package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/httpconn"
)

// Names that the discovery protocol defines for requests to the agent. Package wire defines the names in the responses.
const (
	listPath       = "/v1/servers"
	afterParameter = "after"   // version after which changes are requested; without it the full list is requested
	waitParameter  = "wait_ms" // longest time that the agent may wait for a change before it responds, in ms
)

const (
	// longPollWait is the longest time that the agent may wait for a change before it responds to a long poll. A short
	// wait is affordable because polls cost the agent nothing. The platform expects the assigner to know a change of
	// the endpoint list 2 s after the end of a wait. With a short wait, a dead connection is detected in time for the
	// drain of an endpoint to be honored.
	longPollWait = time.Second
	// responseTimeout is the longest time for a response in addition to the wait of a long poll. The agent is on the
	// same machine and responds immediately.
	responseTimeout = 500 * time.Millisecond
	// dialTimeout is the longest time for connecting to the agent, which is on the same machine.
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes is the maximum size of a response body in bytes. A list of a thousand endpoints takes 200 KB.
	maxResponseBytes = 8 << 20
	// responseMemoryDivisor limits a response body further: its maximum size is the memory limit of the process divided
	// by responseMemoryDivisor. The reason is that reading a response takes several times its size in memory.
	responseMemoryDivisor = 32
)

// Errors of a response from the agent or of the connection on which the response arrived.
var (
	// ErrResponseTooLarge reports a response body that exceeds the size limit.
	ErrResponseTooLarge = errors.New("response too large")
	// ErrConnectionClosed reports that the agent closed the connection after a complete response, which was applied.
	ErrConnectionClosed = errors.New("connection closed by agent")
)

// maxResponseSize returns the maximum size of a response body in bytes. The parameter memoryLimitMB is the memory limit
// of the process in MiB.
func maxResponseSize(memoryLimitMB int) int64 {
	return int64(min(maxResponseBytes, memoryLimitMB<<20/responseMemoryDivisor))
}

// listRequest is a request for the full list, or for the changes after a version.
type listRequest struct {
	full         bool // whether the request is for the full list
	afterVersion int  // version after which changes are requested; unused if the field full is true
	// fullListCalls is the number of calls of Watcher.RequestFullList before this listRequest was created. If the field
	// full is true, the response fulfills these calls.
	fullListCalls int64
}

// pollState is the state of the polls over one connection. pollAgent passes it to Watcher.handlePoll before the first
// request of the connection, without an update, and after each response, with the update from the response.
// Watcher.handlePoll sets nextRequest, or rejection if it rejects the update.
type pollState struct {
	address     string                // address of the agent
	hasUpdate   bool                  // whether a response was received, so that the field update is set
	update      assign.EndpointUpdate // update in the last response
	nextRequest listRequest           // request to send next, which Watcher.handlePoll sets
	rejection   error                 // reason why Watcher.handlePoll rejected the update; nil if it did not
}

// pollAgent polls the agent at an address over one connection, until a request fails, a response is rejected, the agent
// closes the connection or the context ends. It returns the reason why it ended, which is never nil. It is used as the
// Open function of a handover.Source.
func (w *Watcher) pollAgent(ctx context.Context, address string, deliver func(*pollState) bool) error {
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return fmt.Errorf("agent %s: %w", address, err)
	}
	defer func() { _ = conn.Close() }() // the connection is not used again, so an error from Close has no effect
	defer conn.CloseOnContextDone(ctx)()
	poll := &pollState{address: address}
	if !deliver(poll) { // Watcher.handlePoll sets poll.nextRequest to the first request
		return fmt.Errorf("agent %s: %w", address, ctx.Err())
	}
	for {
		update, closing, err := w.requestEndpointList(conn, poll.nextRequest)
		if err != nil {
			return fmt.Errorf("agent %s: %w", address, err)
		}
		poll.hasUpdate = true
		poll.update = update
		if !deliver(poll) { // Watcher.handlePoll may still be using poll, so poll must not be accessed below
			return fmt.Errorf("agent %s: %w", address, ctx.Err())
		}
		if poll.rejection != nil {
			return poll.rejection
		}
		if closing {
			return ErrConnectionClosed
		}
	}
}

// requestEndpointList sends one request and returns the update from its response. The result closing is true if the
// connection cannot be used for another request.
func (w *Watcher) requestEndpointList(conn *httpconn.Conn, request listRequest) (update assign.EndpointUpdate, closing bool, err error) {
	timeout := responseTimeout
	httpRequest := conn.NewRequest(http.MethodGet, listPath)
	if !request.full {
		timeout += longPollWait
		httpRequest.URL.RawQuery = url.Values{
			afterParameter: {strconv.Itoa(request.afterVersion)},
			waitParameter:  {strconv.FormatInt(longPollWait.Milliseconds(), 10)},
		}.Encode()
	}
	response, _, err := conn.Do(httpRequest, timeout)
	if err != nil {
		return update, true, fmt.Errorf("request list: %w", err)
	}
	body, err := w.readResponseBody(response)
	if err != nil {
		return update, true, fmt.Errorf("read response: %w", err)
	}
	update, err = w.codec.DecodeEndpointList(body)
	if err != nil {
		return update, true, fmt.Errorf("decode response: %w", err)
	}
	return update, response.Close, nil
}

// readResponseBody reads the body of a response and closes it. It returns ErrResponseTooLarge, and does not close the
// body, if the body exceeds the size limit. It returns an error that wraps httpconn.ErrUnexpectedStatus if the status
// is not OK.
func (w *Watcher) readResponseBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, w.maxResponseSize+1))
	if int64(len(body)) > w.maxResponseSize { // the rest of the body is not read; the caller closes the connection
		return nil, ErrResponseTooLarge
	}
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", httpconn.ErrUnexpectedStatus, response.Status)
	}
	return body, nil
}
