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

// CallResponse is the relay's response to a call: the number of orders that it accepted, or an error code.
type CallResponse struct {
	AcceptedOrders int    // number of orders that the relay accepted
	ErrorCode      string // ErrorCodeBusy, ErrorCodeSyntax or another error code; empty if the call succeeded
}

// callResponseParser builds a CallResponse from the tokens of an XML document.
type callResponseParser struct {
	response       CallResponse
	hasResult      bool   // whether the document has stated a number of accepted orders or an error code so far
	currentElement string // name of the element opened last, in lower case; empty once an element has been closed
}

// DecodeCallResponse decodes the XML document with which the relay responds to a call. The code of an error may be in
// an element or in an attribute. An incomplete document is an error, and so is a document without a number of accepted
// orders or a code.
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

// applyToken updates the response with the next token of the document.
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

// applyText updates the response with the text of the current element, without surrounding white space.
func (p *callResponseParser) applyText(text string) error {
	switch p.currentElement {
	case acceptedElement:
		accepted, err := strconv.Atoi(text)
		if err != nil || accepted < 0 {
			return &fieldcheck.Error{Field: acceptedElement, Value: strconv.Quote(text), Want: "accepted orders: a whole number from 0"}
		}
		p.response.AcceptedOrders = accepted
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
