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

// Answer is the relay's answer to a call: the number of orders that it accepted, or an error code.
type Answer struct {
	Accepted int
	Code     string // CodeBusy, CodeSyntax or another code; empty if the call succeeded
}

// answerParser collects an Answer from the tokens of an XML document.
type answerParser struct {
	answer  Answer
	found   bool   // the document has stated an answer
	element string // innermost open element, in lower case
}

// DecodeAnswer decodes the relay's answer. The code of an error may be in an element or in an attribute.
func DecodeAnswer(body []byte) (Answer, error) {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	parser := answerParser{}
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) && parser.found {
			return parser.answer, nil
		}
		if err != nil {
			return Answer{}, fmt.Errorf("relay answer: %w", err)
		}
		if err := parser.apply(token); err != nil {
			return Answer{}, fmt.Errorf("relay answer: %w", err)
		}
	}
}

func (p *answerParser) apply(token xml.Token) error {
	switch token := token.(type) {
	case xml.StartElement:
		p.element = strings.ToLower(token.Name.Local)
		for _, attribute := range token.Attr {
			if strings.EqualFold(attribute.Name.Local, codeAttribute) {
				p.setCode(attribute.Value)
			}
		}
	case xml.EndElement:
		p.element = ""
	case xml.CharData:
		return p.text(strings.TrimSpace(string(token)))
	}
	return nil
}

func (p *answerParser) text(text string) error {
	switch p.element {
	case acceptedElement:
		accepted, err := strconv.Atoi(text)
		if err != nil || accepted < 0 {
			return &fieldcheck.Error{Field: acceptedElement, Value: strconv.Quote(text), Want: "accepted orders: a whole number from 0"}
		}
		p.answer.Accepted = accepted
		p.found = true
	case codeElement, errorElement:
		if text != "" {
			p.setCode(text)
		}
	}
	return nil
}

func (p *answerParser) setCode(code string) {
	p.answer.Code = code
	p.found = true
}
