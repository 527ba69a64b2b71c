package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestReadAnswerChecksAcceptedOrders(t *testing.T) {
	for _, test := range []struct {
		accepted, sent int
		wantErr        error
	}{
		{accepted: 0, sent: 3},
		{accepted: 3, sent: 3},
		{accepted: 4, sent: 3, wantErr: ErrTooManyAccepted},
	} {
		t.Run(fmt.Sprintf("%d of %d", test.accepted, test.sent), func(t *testing.T) {
			body := io.NopCloser(strings.NewReader(acceptedAnswer(test.accepted)))
			answer, err := readAnswer(&http.Response{Body: body}, test.sent)
			if !errors.Is(err, test.wantErr) || answer.AcceptedOrders != test.accepted {
				t.Errorf("got %d accepted, error %v; want %d, error %v", answer.AcceptedOrders, err, test.accepted, test.wantErr)
			}
		})
	}
}
