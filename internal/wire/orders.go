package wire

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"madderhollow/assign"
)

// EncodeOrder encodes one order for the proxies. The error is ErrCannotEncode for an order of another type, and for a
// request class that is not configured or whose name cannot be written. Endpoint names are not checked here:
// EndpointUpdate has rejected those that cannot be written.
func (c *Codec) EncodeOrder(order assign.Order) (string, error) {
	switch order := order.(type) {
	case assign.SetWeight:
		return encode(setWeightOrder, strconv.Itoa(order.Table), order.Endpoint, decimal(order.Weight)), nil
	case assign.ClearTable:
		return encode(clearTableOrder, strconv.Itoa(order.Table)), nil
	case assign.AttachTable:
		classes, err := c.classNames(order.RequestClasses)
		return encode(attachTableOrder, strconv.Itoa(order.Proxy), strconv.Itoa(order.Table), classes), err
	case assign.SetRateLimit:
		classes, err := c.classNames(order.RequestClasses)
		return encode(setRateLimitOrder, tableName(order.Table), classes, decimal(order.Limit), strconv.Itoa(order.Retries)), err
	case assign.EjectEndpoint:
		if order.Ejected {
			return encode(ejectEndpointOrder, order.Endpoint), nil
		}
		return encode(restoreEndpointOrder, order.Endpoint), nil
	case assign.AcknowledgmentRequest:
		return encode(acknowledgmentRequestOrder, strconv.Itoa(order.Sequence), flag(order.AllProxies)), nil
	}
	return "", fmt.Errorf("%w: type %T", ErrCannotEncode, order)
}

// encode joins the name of an order and its arguments.
func encode(name string, arguments ...string) string {
	return name + argumentSeparator + strings.Join(arguments, argumentSeparator)
}

// classNames joins request classes, given by position.
func (c *Codec) classNames(classes []int) (string, error) {
	if len(classes) == 0 {
		return allTablesOrClasses, nil
	}
	names := make([]string, len(classes))
	for i, class := range classes {
		if class < 0 || class >= len(c.classes) || !isOrderArgument(c.classes[class]) {
			return "", fmt.Errorf("%w: request class %d", ErrCannotEncode, class)
		}
		names[i] = c.classes[class]
	}
	return strings.Join(names, requestClassSeparator), nil
}

func tableName(table int) string {
	if table == assign.AllProxyTables {
		return allTablesOrClasses
	}
	return strconv.Itoa(table)
}

// decimal formats a number without an exponent.
func decimal(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func flag(set bool) string {
	if set {
		return "1"
	}
	return "0"
}

// EncodeCall returns the body of a call to the relay with encoded orders.
func EncodeCall(orders []string) []byte {
	return []byte(callPrefix + url.QueryEscape(strings.Join(orders, orderSeparator)))
}
