package wire

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"madderhollow/internal/fieldcheck"
)

// CallResponse is the relay's response to a call, which is an HTTP request with orders. The response states the number
// of orders that the relay accepted, or an error code.
type CallResponse struct {
	AcceptedOrders int    // number of orders that the relay accepted
	ErrorCode      string // ErrorCodeBusy, ErrorCodeSyntax or another error code; empty if the call succeeded
}

// callResponseParser builds a CallResponse from the tokens of the XML document that the relay sent.
type callResponseParser struct {
	response       CallResponse
	hasResult      bool   // whether a number of accepted orders or an error code has been read from the document
	currentElement string // name of the XML element opened last, in lower case; empty once an element has been closed
}

// DecodeCallResponse decodes the XML document with which the relay responds to a call. The error code may be the text
// of an element or the value of an attribute. An incomplete document is an error, and so is a document that has neither
// a number of accepted orders nor an error code.
func DecodeCallResponse(body []byte) (CallResponse, error) {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	parser := callResponseParser{}
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) && parser.hasResult {
			return parser.response, nil
		}
		if err != nil {
			return CallResponse{}, fmt.Errorf("relay answer: %w", err)
		}
		if err := parser.applyToken(token); err != nil {
			return CallResponse{}, fmt.Errorf("relay answer: %w", err)
		}
	}
}

// applyToken updates the response with the next token of the XML document.
func (p *callResponseParser) applyToken(token xml.Token) error {
	switch token := token.(type) {
	case xml.StartElement:
		p.currentElement = strings.ToLower(token.Name.Local)
		for _, attribute := range token.Attr {
			if strings.EqualFold(attribute.Name.Local, errorCodeAttribute) {
				p.setErrorCode(attribute.Value)
			}
		}
	case xml.EndElement:
		p.currentElement = ""
	case xml.CharData:
		return p.applyText(strings.TrimSpace(string(token)))
	}
	return nil
}

// applyText updates the response with the text of the current XML element, without surrounding white space.
func (p *callResponseParser) applyText(text string) error {
	switch p.currentElement {
	case acceptedElement:
		acceptedOrders, err := strconv.Atoi(text)
		if err != nil || acceptedOrders < 0 {
			return &fieldcheck.Error{Field: acceptedElement, Value: strconv.Quote(text), Want: "accepted orders: a whole number from 0"}
		}
		p.response.AcceptedOrders = acceptedOrders
		p.hasResult = true
	case errorCodeElement, errorElement:
		if text != "" {
			p.setErrorCode(text)
		}
	}
	return nil
}

func (p *callResponseParser) setErrorCode(code string) {
	p.response.ErrorCode = code
	p.hasResult = true
}
