package wire

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"madderhollow/assign"
)

// all stands for all tables or all request classes in an order.
const all = "*"

// Order encodes one order of those that go to proxies. Others, and names that cannot be written, are ErrCannotEncode.
func (c *Codec) Order(order assign.Order) (string, error) {
	switch order := order.(type) {
	case assign.SetWeight:
		return fmt.Sprintf("put,%d,%s,%s", order.Table, order.Endpoint, decimal(order.Weight)), nil
	case assign.ClearTable:
		return fmt.Sprintf("wipe,%d", order.Table), nil
	case assign.AttachTable:
		classes, err := c.classNames(order.RequestClasses)
		return fmt.Sprintf("attach,%d,%d,%s", order.Proxy, order.Table, classes), err
	case assign.SetRateLimit:
		classes, err := c.classNames(order.RequestClasses)
		return fmt.Sprintf("gate,%s,%s,%s,%d", tableName(order.Table), classes, decimal(order.Limit), order.Retries), err
	case assign.EjectEndpoint:
		if order.Ejected {
			return "eject," + order.Endpoint, nil
		}
		return "uneject," + order.Endpoint, nil
	case assign.AcknowledgmentRequest:
		return fmt.Sprintf("fence,%d,%d", order.Sequence, digit(order.AllProxies)), nil
	}
	return "", fmt.Errorf("order of type %T: %w", order, ErrCannotEncode)
}

// classNames joins request classes, given by position, as an order has them.
func (c *Codec) classNames(classes []int) (string, error) {
	if len(classes) == 0 {
		return all, nil
	}
	names := make([]string, len(classes))
	for i, class := range classes {
		if class < 0 || class >= len(c.classes) || !IsPlain(c.classes[class]) {
			return "", fmt.Errorf("request class %d: %w", class, ErrCannotEncode)
		}
		names[i] = c.classes[class]
	}
	return strings.Join(names, "+"), nil
}

func tableName(table int) string {
	if table == assign.AllProxies {
		return all
	}
	return strconv.Itoa(table)
}

// decimal writes a number without an exponent.
func decimal(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func digit(flag bool) int {
	if flag {
		return 1
	}
	return 0
}

// Call returns the body of one call to the relay.
func Call(orders []string) []byte {
	return []byte("Action=CommitChanges&orders=" + url.QueryEscape(strings.Join(orders, ";")))
}
