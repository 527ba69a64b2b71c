package wire

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Answer is what the relay said of a call: how many orders it took, or the error that it gave.
type Answer struct {
	Taken int
	Code  string // CodeBusy, CodeSyntax or another word; empty if Taken holds
}

// The codes of the relay's errors that have a meaning here.
const (
	CodeBusy   = "BUSY"   // its run has not begun
	CodeSyntax = "SYNTAX" // it cannot read the call
)

// answerParser collects an Answer from the tokens of a document.
type answerParser struct {
	answer  Answer
	found   bool
	element string // the innermost one that is open, in lower case
}

// ReadAnswer decodes the relay's answer. An error's code may stand in an element or an attribute.
func ReadAnswer(body []byte) (Answer, error) {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	parser := answerParser{}
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) && parser.found {
			return parser.answer, nil
		}
		if err != nil {
			return Answer{}, fmt.Errorf("relay's answer: %w", err)
		}
		if err := parser.take(token); err != nil {
			return Answer{}, fmt.Errorf("relay's answer: %w", err)
		}
	}
}

func (p *answerParser) take(token xml.Token) error {
	switch token := token.(type) {
	case xml.StartElement:
		p.element = strings.ToLower(token.Name.Local)
		for _, attribute := range token.Attr {
			if strings.EqualFold(attribute.Name.Local, "code") {
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
	case "taken":
		taken, err := strconv.Atoi(text)
		if err != nil || taken < 0 {
			return &MemberError{"taken", strconv.Quote(text), "a whole number not below 0"}
		}
		p.answer.Taken = taken
		p.found = true
	case "code", "error":
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
