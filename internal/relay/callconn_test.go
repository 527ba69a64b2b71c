package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestReadCallResponseChecksAcceptedOrders(t *testing.T) {
	for _, test := range []struct {
		accepted, sent int
		wantErr        error
	}{
		{accepted: 0, sent: 3},
		{accepted: 3, sent: 3},
		{accepted: 4, sent: 3, wantErr: ErrTooManyAccepted},
	} {
		t.Run(fmt.Sprintf("%d of %d", test.accepted, test.sent), func(t *testing.T) {
			body := io.NopCloser(strings.NewReader(acceptedResponse(test.accepted)))
			response, err := readCallResponse(&http.Response{Body: body}, test.sent)
			if !errors.Is(err, test.wantErr) || response.AcceptedOrders != test.accepted {
				t.Errorf("got %d accepted, error %v; want %d, error %v", response.AcceptedOrders, err, test.accepted, test.wantErr)
			}
		})
	}
}
