// Package documentjson encodes and decodes the JSON in which the platform publishes documents and instance lists.
package documentjson

import (
	"bytes"
	"encoding/json"
	"fmt"

	"dogwooddrift.org/drift/document"
)

// Document decodes a document but does not validate it. Errors, including unknown fields, wrap document.ErrMalformed.
func Document(text []byte) (*document.Document, error) { return decode[document.Document](text) }

// InstanceList decodes an instance list, with the same rules as Document.
func InstanceList(text []byte) (*document.InstanceList, error) {
	return decode[document.InstanceList](text)
}

// Encode returns a document or an instance list as JSON content with the given revision.
func Encode(revision document.Revision, value any) (document.Content, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return document.Content{}, fmt.Errorf("%w: %w", document.ErrMalformed, err)
	}
	return document.Content{Revision: revision, Bytes: text}, nil
}

func decode[T any](text []byte) (*T, error) {
	value := new(T)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return nil, fmt.Errorf("%w: %w", document.ErrMalformed, err)
	}
	return value, nil
}
