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

// The protocol's names in a request to the agent. Package wire has those in the answer.
const (
	listPath       = "/v1/servers"
	afterParameter = "after"   // the version after which changes are requested; absent: the full list
	waitParameter  = "wait_ms" // how long the agent may wait for a change, ms
)

const (
	// pollWait is how long the agent may wait for a change. Polls cost the agent nothing, and the platform expects a
	// change to be known 2 s after the end of a wait: a short one finds a dead connection in time to honor a drain.
	pollWait = time.Second
	// answerTimeout bounds the time of an answer beyond the wait. The agent is on the same machine and answers at once.
	answerTimeout = 500 * time.Millisecond
	// dialTimeout bounds the time to connect to an agent on the same machine.
	dialTimeout = 500 * time.Millisecond
	// maxAnswer bounds an answer, in bytes; a thousand endpoints take 200 KB. An answer is also bounded to the part
	// 1/answerMemoryFraction of the memory, since reading one takes several times its size.
	maxAnswer            = 8 << 20
	answerMemoryFraction = 32
)

// Errors of an agent's answer.
var (
	ErrAnswerTooLarge = errors.New("answer too large")
	// ErrConnectionClosed follows an answer that was received whole, with which the agent closed the connection.
	ErrConnectionClosed = errors.New("connection closed by agent")
)

// maxAnswerSize returns the bound of an answer for a process with so many MB of memory, in bytes.
func maxAnswerSize(memoryMB int) int64 {
	return int64(min(maxAnswer, memoryMB<<20/answerMemoryFraction))
}

// request is a request for the full list, or for the changes after a version.
type request struct {
	full    bool
	after   int   // version; unused if full
	fetches int64 // number of calls of Watcher.Fetch before it was made, which its answer fulfills if full
}

// pollState is what pollAgent delivers to Watcher.receive: once before the first request of a connection, and after each
// answer. Watcher.receive sets either the next request or the error for which the answer is rejected.
type pollState struct {
	address  string // of the agent
	answered bool   // update is set
	update   assign.EndpointUpdate
	next     request
	err      error
}

// pollAgent polls an agent over one connection until a request fails, an answer is rejected, the agent closes the
// connection or the context ends. It is the Open of a handover.Source.
func (w *Watcher) pollAgent(ctx context.Context, address string, deliver func(*pollState) bool) error {
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return fmt.Errorf("agent %s: %w", address, err)
	}
	defer func() { _ = conn.Close() }() // the connection is not used again, so an error of closing it changes nothing
	defer conn.CloseOnContextDone(ctx)()
	poll := &pollState{address: address}
	if !deliver(poll) { // sets the first request
		return fmt.Errorf("agent %s: %w", address, ctx.Err())
	}
	for {
		update, closing, err := w.requestList(conn, poll.next)
		if err != nil {
			return fmt.Errorf("agent %s: %w", address, err)
		}
		poll.answered = true
		poll.update = update
		if !deliver(poll) { // the watcher may still use poll
			return fmt.Errorf("agent %s: %w", address, ctx.Err())
		}
		if poll.err != nil {
			return poll.err
		}
		if closing {
			return ErrConnectionClosed
		}
	}
}

// requestList makes one request and returns its answer. Closing reports that the connection cannot be used again.
func (w *Watcher) requestList(conn *httpconn.Conn, wanted request) (update assign.EndpointUpdate, closing bool, err error) {
	timeout := answerTimeout
	httpRequest := conn.NewRequest(http.MethodGet, listPath)
	if !wanted.full {
		timeout += pollWait
		httpRequest.URL.RawQuery = url.Values{
			afterParameter: {strconv.Itoa(wanted.after)},
			waitParameter:  {strconv.FormatInt(pollWait.Milliseconds(), 10)},
		}.Encode()
	}
	response, _, err := conn.Do(httpRequest, timeout)
	if err != nil {
		return update, true, fmt.Errorf("request list: %w", err)
	}
	body, err := w.readBody(response)
	if err != nil {
		return update, true, fmt.Errorf("read answer: %w", err)
	}
	update, err = w.codec.DecodeEndpointList(body)
	if err != nil {
		return update, true, fmt.Errorf("decode answer: %w", err)
	}
	return update, response.Close, nil
}

// readBody reads an answer's body and closes it, unless it is too large.
func (w *Watcher) readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, w.maxAnswer+1))
	if int64(len(body)) > w.maxAnswer { // the rest stays unread, since the caller closes the connection
		return nil, ErrAnswerTooLarge
	}
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", httpconn.ErrUnexpectedStatus, response.Status)
	}
	return body, nil
}
