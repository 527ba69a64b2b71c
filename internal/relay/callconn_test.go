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
		acceptedOrders, sentOrders int
		wantErr                    error
	}{
		{acceptedOrders: 0, sentOrders: 3},
		{acceptedOrders: 3, sentOrders: 3},
		{acceptedOrders: 4, sentOrders: 3, wantErr: ErrTooManyAccepted},
	} {
		t.Run(fmt.Sprintf("%d of %d", test.acceptedOrders, test.sentOrders), func(t *testing.T) {
			body := io.NopCloser(strings.NewReader(acceptedResponse(test.acceptedOrders)))
			response, err := readCallResponse(&http.Response{Body: body}, test.sentOrders)
			if !errors.Is(err, test.wantErr) || response.AcceptedOrders != test.acceptedOrders {
				t.Errorf("got %d accepted, error %v; want %d, error %v", response.AcceptedOrders, err, test.acceptedOrders, test.wantErr)
			}
		})
	}
}
