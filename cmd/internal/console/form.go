package console

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// form parses the fields of a submitted form and keeps the first error in err.
type form struct {
	values url.Values
	err    error
}

func (f *form) text(field string) string { return strings.TrimSpace(f.values.Get(field)) }

func (f *form) checked(field string) bool { return f.values.Get(field) != "" }

func (f *form) number(field string) float64 {
	v, err := strconv.ParseFloat(f.text(field), 64)
	f.recordError(field, "a number", err)
	return v
}

func (f *form) integer(field string) int {
	v, err := strconv.Atoi(f.text(field))
	f.recordError(field, "a whole number", err)
	return v
}

func (f *form) recordError(field, expected string, err error) {
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("field %s: %q is not %s", field, f.text(field), expected)
	}
}
