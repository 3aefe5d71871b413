package rules

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrHistory means that a recorded history cannot be read.
var ErrHistory = errors.New("invalid history")

// line is one line of a recorded history: the bounds in the first, an event in each of the others.
type line struct {
	Bounds *Bounds         `json:"bounds,omitempty"`
	Type   string          `json:"type,omitempty"`
	Event  json.RawMessage `json:"event,omitempty"`
}

// decoders holds a decoder for each type of event, by its name.
var decoders = map[string]func([]byte) (Event, error){
	"RequestSent": decode[RequestSent], "RequestEnded": decode[RequestEnded], "Arrived": decode[Arrived], "RunBegan": decode[RunBegan],
	"RunEnded": decode[RunEnded], "TargetLeaves": decode[TargetLeaves], "TargetReady": decode[TargetReady],
	"Configuration": decode[Configuration], "Disruption": decode[Disruption], "Terminated": decode[Terminated], "Started": decode[Started],
	"Shortage": decode[Shortage], "StoreReturned": decode[StoreReturned],
}

func decode[E Event](text []byte) (Event, error) {
	var e E
	err := json.Unmarshal(text, &e)
	return e, err
}

// Write records a history as JSON lines.
func Write(w io.Writer, b Bounds, events []Event) error {
	out := json.NewEncoder(w)
	if err := out.Encode(line{Bounds: &b}); err != nil {
		return err
	}
	for _, e := range events {
		text, err := json.Marshal(e)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%T", e)
		if err := out.Encode(line{Type: name[len("rules."):], Event: text}); err != nil {
			return err
		}
	}
	return nil
}

// Read reads a history that Write recorded. Errors wrap ErrHistory.
func Read(r io.Reader) (b Bounds, events []Event, err error) {
	in := json.NewDecoder(bufio.NewReader(r))
	for n := 1; ; n++ {
		var l line
		switch err := in.Decode(&l); {
		case errors.Is(err, io.EOF):
			return b, events, nil
		case err != nil:
			return b, nil, fmt.Errorf("%w: line %d: %w", ErrHistory, n, err)
		}
		if l.Bounds != nil {
			b = *l.Bounds
			continue
		}
		decoder := decoders[l.Type]
		if decoder == nil {
			return b, nil, fmt.Errorf("%w: line %d: unknown event %q", ErrHistory, n, l.Type)
		}
		e, err := decoder(l.Event)
		if err != nil {
			return b, nil, fmt.Errorf("%w: line %d: %w", ErrHistory, n, err)
		}
		events = append(events, e)
	}
}
