// Package strictjson checks that all readers of a JSON document get the same from it. Readers differ on documents
// with repeated names, names that differ from the expected ones only in case, bytes that aren't UTF-8, escapes of
// half a surrogate pair, and numbers that a float can't hold.
package strictjson

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// AmbiguousError says where a document can't be read, or is read differently by different readers.
type AmbiguousError struct {
	Path   string // JSON pointer
	Reason string
}

func (e *AmbiguousError) Error() string { return e.Path + ": " + e.Reason }

// Shape is what is known of the documents that a type is decoded from.
type Shape struct {
	fields  map[string]*Shape // of an object, by name; nil if its names are not known
	element *Shape            // of an array, nil if not known
}

// ShapeOf returns the shape of a type that documents are decoded into. The type must not contain itself.
func ShapeOf(decoded reflect.Type) *Shape {
	switch decoded.Kind() {
	case reflect.Pointer:
		return ShapeOf(decoded.Elem())
	case reflect.Slice:
		return &Shape{element: ShapeOf(decoded.Elem())}
	case reflect.Struct:
		shape := &Shape{fields: map[string]*Shape{}}
		for i := range decoded.NumField() {
			field := decoded.Field(i)
			if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" && name != "-" {
				shape.fields[name] = ShapeOf(field.Type)
			}
		}
		return shape
	}
	return unknownShape
}

// unknownShape is the shape of values of which nothing is known.
var unknownShape = &Shape{}

// Check checks a document. It fails with an *AmbiguousError. Names that the shape doesn't have are allowed, unless
// one differs from a name of the shape only in case: encoding/json would take it for that one, other readers
// wouldn't.
func (s *Shape) Check(text []byte) error {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(text))
	if err := s.checkValue(decoder); err != nil {
		return err
	}
	if _, err := decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return &AmbiguousError{"", "text follows the document"}
	}
	return nil
}

// checkValue reads the next value and checks it.
func (s *Shape) checkValue(decoder *jsontext.Decoder) error {
	token, err := decoder.ReadToken()
	if err != nil {
		return readError(err)
	}
	switch token.Kind() {
	case '{':
		return s.checkMembers(decoder)
	case '[':
		return s.checkElements(decoder)
	case '0':
		return checkNumber(decoder, token.String())
	}
	return nil
}

func (s *Shape) checkMembers(decoder *jsontext.Decoder) error {
	for decoder.PeekKind() != '}' {
		token, err := decoder.ReadToken()
		if err != nil {
			return readError(err)
		}
		member, err := s.member(decoder, token.String())
		if err != nil {
			return err
		}
		if err := member.checkValue(decoder); err != nil {
			return err
		}
	}
	_, err := decoder.ReadToken()
	return readError(err)
}

func (s *Shape) checkElements(decoder *jsontext.Decoder) error {
	element := cmp.Or(s.element, unknownShape)
	for decoder.PeekKind() != ']' {
		if err := element.checkValue(decoder); err != nil {
			return err
		}
	}
	_, err := decoder.ReadToken()
	return readError(err)
}

// member returns the shape of the member with the given name.
func (s *Shape) member(decoder *jsontext.Decoder, name string) (*Shape, error) {
	if member := s.fields[name]; member != nil {
		return member, nil
	}
	for known := range s.fields {
		if strings.EqualFold(known, name) {
			return nil, &AmbiguousError{string(decoder.StackPointer()), fmt.Sprintf("the name must be written as %q", known)}
		}
	}
	return unknownShape, nil
}

// checkNumber checks that a number can be held by a float64: that it is not too large, and not rounded to 0.
func checkNumber(decoder *jsontext.Decoder, text string) error {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number == 0 && hasNonzeroDigit(text) {
		return &AmbiguousError{string(decoder.StackPointer()), "the number " + text + " is out of range"}
	}
	return nil
}

// hasNonzeroDigit reports whether the digits of a number before its exponent are not all 0.
func hasNonzeroDigit(number string) bool {
	if exponent := strings.IndexAny(number, "eE"); exponent >= 0 {
		number = number[:exponent]
	}
	return strings.ContainsAny(number, "123456789")
}

// readError converts an error of the decoder to an *AmbiguousError.
func readError(err error) error {
	var syntax *jsontext.SyntacticError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &syntax):
		return &AmbiguousError{string(syntax.JSONPointer), "it cannot be read: " + syntax.Err.Error()}
	}
	return &AmbiguousError{"", "it cannot be read: " + err.Error()}
}
