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

const (
	// pollTime is how long a watch may wait. The agent answers at no cost, and what it has counts as told 2 s after a wait
	// ends: a short one finds a dead connection while a drain can still be kept.
	pollTime = time.Second
	// answerTimeout is what an answer may come late; the agent stands on the same machine and answers at once.
	answerTimeout = 500 * time.Millisecond
	// dialTimeout is what a connection to an agent on the same machine may take.
	dialTimeout = 500 * time.Millisecond
	// An answer is bounded by maxAnswer bytes, and by a part of the memory, which reading it takes several times. A
	// thousand endpoints make 200 KB.
	maxAnswer            = 8 << 20
	answerMemoryFraction = 32
)

// Errors of an agent's answer.
var (
	ErrStatus         = errors.New("unexpected status")
	ErrAnswerTooLarge = errors.New("the answer is too large")
	ErrClosing        = errors.New("the agent closes the connection")
)

// maxAnswerSize bounds an answer in so many MB of memory, in bytes.
func maxAnswerSize(memoryMB int) int64 {
	return int64(min(maxAnswer, memoryMB<<20/answerMemoryFraction))
}

// request is what an agent is asked: for the full list, or for what follows a version.
type request struct {
	full  bool
	after int
}

// pollState is one answer of an agent, if it was asked yet, and what the receiver wants it to be asked next. The receiver
// sets err if the answer cannot be used.
type pollState struct {
	answered bool
	update   assign.EndpointUpdate
	next     request
	err      error
}

// converse asks over one connection until that fails.
func (w *Watcher) converse(ctx context.Context, address string, give func(*pollState) bool) error {
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // nothing is under way any more
	defer conn.CloseWith(ctx)()
	closing := false
	for poll := (&pollState{}); give(poll); poll.answered = true {
		if poll.err != nil {
			return poll.err
		}
		if closing {
			return ErrClosing
		}
		if poll.update, closing, err = w.ask(conn, poll.next); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// ask makes one request. Closing: the connection takes no other.
func (w *Watcher) ask(conn *httpconn.Conn, asked request) (update assign.EndpointUpdate, closing bool, err error) {
	timeout := answerTimeout
	httpRequest := conn.NewRequest(http.MethodGet, "/v1/servers")
	if !asked.full {
		timeout += pollTime
		httpRequest.URL.RawQuery = url.Values{"after": {strconv.Itoa(asked.after)},
			"wait_ms": {strconv.FormatInt(pollTime.Milliseconds(), 10)}}.Encode()
	}
	response, _, err := conn.Do(httpRequest, timeout)
	if err != nil {
		return update, true, err
	}
	body, err := w.readBody(response)
	if err != nil {
		return update, true, fmt.Errorf("answer: %w", err)
	}
	update, err = w.codec.DecodeEndpointList(body)
	return update, response.Close, err
}

func (w *Watcher) readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, w.maxAnswer+1))
	if int64(len(body)) > w.maxAnswer { // the rest is left unread, and the connection is closed
		return nil, ErrAnswerTooLarge
	}
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", ErrStatus, response.Status)
	}
	return body, nil
}
