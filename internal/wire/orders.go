package wire

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"madderhollow/assign"
)

// EncodeOrder encodes one order for the proxies. The error is ErrCannotEncode if the protocol has no order of that
// type, if a request class is not configured, or if the name of a request class is no valid argument of an order. The
// names of endpoints are not checked, because ConvertEndpointList rejects names that are no valid arguments.
func (c *Codec) EncodeOrder(order assign.Order) (string, error) {
	switch order := order.(type) {
	case assign.SetWeight:
		return joinOrder(setWeightOrder, strconv.Itoa(order.Table), order.Endpoint, formatDecimal(order.Weight)), nil
	case assign.ClearTable:
		return joinOrder(clearTableOrder, strconv.Itoa(order.Table)), nil
	case assign.AttachTable:
		classes, err := c.joinRequestClasses(order.RequestClasses)
		return joinOrder(attachTableOrder, strconv.Itoa(order.Proxy), strconv.Itoa(order.Table), classes), err
	case assign.SetRateLimit:
		classes, err := c.joinRequestClasses(order.RequestClasses)
		return joinOrder(setRateLimitOrder, formatTable(order.Table), classes, formatDecimal(order.Limit),
			strconv.Itoa(order.Retries)), err
	case assign.EjectEndpoint:
		if order.Ejected {
			return joinOrder(ejectEndpointOrder, order.Endpoint), nil
		}
		return joinOrder(restoreEndpointOrder, order.Endpoint), nil
	case assign.AcknowledgmentRequest:
		return joinOrder(acknowledgmentRequestOrder, strconv.Itoa(order.Sequence), formatFlag(order.AllProxies)), nil
	}
	return "", fmt.Errorf("%w: type %T", ErrCannotEncode, order)
}

// joinOrder returns the text of an order with the given name and arguments.
func joinOrder(name string, arguments ...string) string {
	return name + argumentSeparator + strings.Join(arguments, argumentSeparator)
}

// joinRequestClasses returns the argument of an order that names request classes. The parameter classes has the
// positions of these classes in the settings; if it is empty, the argument stands for all request classes. The error is
// ErrCannotEncode.
func (c *Codec) joinRequestClasses(classes []int) (string, error) {
	if len(classes) == 0 {
		return wildcard, nil
	}
	names := make([]string, len(classes))
	for i, class := range classes {
		if class < 0 || class >= len(c.requestClasses) || !isValidOrderArgument(c.requestClasses[class]) {
			return "", fmt.Errorf("%w: request class %d", ErrCannotEncode, class)
		}
		names[i] = c.requestClasses[class]
	}
	return strings.Join(names, requestClassSeparator), nil
}

// formatTable returns the argument of an order that names a table, or all tables for assign.AllProxyTables.
func formatTable(table int) string {
	if table == assign.AllProxyTables {
		return wildcard
	}
	return strconv.Itoa(table)
}

// formatDecimal formats a number without an exponent, with the fewest digits that identify its float64 value.
func formatDecimal(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

// formatFlag returns "1" for true and "0" for false.
func formatFlag(set bool) string {
	if set {
		return "1"
	}
	return "0"
}

// EncodeCall returns the body of a call to the relay, which is an HTTP request with orders. The orders are in the form
// that EncodeOrder returns.
func EncodeCall(orders []string) []byte {
	return []byte(callBodyPrefix + url.QueryEscape(strings.Join(orders, orderSeparator)))
}
