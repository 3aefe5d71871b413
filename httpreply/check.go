// Package httpreply checks that the bytes which a peer sends are HTTP/1.1 replies (RFC 9110, RFC 9112). net/http also accepts some that are
// not, such as a status 000 or a blank in the name of a field, and passes them on.
package httpreply

import (
	"errors"
	"net/http"
	"strings"
)

// ErrMalformed means that the bytes of a peer are not an HTTP/1.1 reply. None of its fields counts, and its connection must not be used
// again. The request may have run.
var ErrMalformed = errors.New("not an HTTP reply")

// Check checks the header of the reply to one request, and those of the interim replies before it. It keeps no bytes.
type Check struct {
	part part
	// interim counts the interim replies that have ended.
	interim int

	// column is the number of bytes of the current line so far.
	column int
	// returned is true if the last byte was a carriage return.
	returned bool

	status int

	// inValue is true after the colon of a field, also on the lines that continue its value.
	inValue bool
	// continuable is true if the next line may continue a value.
	continuable bool
}

// part is the part of a reply to which the next byte belongs.
type part int

const (
	statusLine part = iota
	headerLine
	afterHeader
)

const (
	// statusStart begins each status line. A digit of the version, a blank and the status code follow.
	statusStart  = "HTTP/1."
	statusColumn = len(statusStart) + len("1 ")
	reasonColumn = statusColumn + len("200")

	minStatus = 100
	maxStatus = 599
)

// Reset begins the check of the reply to another request.
func (c *Check) Reset() { *c = Check{} }

// InterimReplies returns the number of interim (1xx) replies that have ended.
func (c *Check) InterimReplies() int { return c.interim }

// HeaderEnded reports whether the header of the final reply has ended. A reply with status 101 is a final one.
func (c *Check) HeaderEnded() bool { return c.part != statusLine && c.part != headerLine }

// Scan checks the next bytes from the connection. The error is ErrMalformed; after it, only Reset may be called.
func (c *Check) Scan(p []byte) error {
	for _, b := range p {
		if c.part == afterHeader {
			return nil
		}
		if !c.scanLine(b) {
			return ErrMalformed
		}
	}
	return nil
}

// scanLine checks a byte of a line. As RFC 9112 allows, a line feed without a carriage return ends a line too.
func (c *Check) scanLine(b byte) bool {
	if b == '\n' {
		sound := c.endLine()
		c.column, c.returned = 0, false
		return sound
	}
	if c.returned {
		return false
	}
	if b == '\r' {
		c.returned = true
		return true
	}
	scan := c.scanField
	if c.part == statusLine {
		scan = c.scanStatus
	}
	sound := scan(b)
	c.column++
	return sound
}

// endLine checks that the current line may end.
func (c *Check) endLine() bool {
	switch {
	case c.part == statusLine:
		c.part, c.continuable = headerLine, false
		return c.column >= reasonColumn && minStatus <= c.status && c.status <= maxStatus
	case c.column > 0:
		c.continuable = true
		return c.inValue
	case c.status < http.StatusOK && c.status != http.StatusSwitchingProtocols:
		*c = Check{interim: c.interim + 1}
	default:
		c.part = afterHeader
	}
	return true
}

// scanStatus checks a byte of the status line.
func (c *Check) scanStatus(b byte) bool {
	switch {
	case c.column < len(statusStart):
		return b == statusStart[c.column]
	case c.column == len(statusStart):
		return isDigit(b)
	case c.column < statusColumn:
		return b == ' '
	case c.column < reasonColumn:
		c.status = c.status*10 + int(b-'0')
		return isDigit(b)
	case c.column == reasonColumn:
		return b == ' '
	}
	return isText(b)
}

// scanField checks a byte of a line of the header.
func (c *Check) scanField(b byte) bool {
	if c.column == 0 {
		if isBlank(b) {
			return c.continuable
		}
		c.inValue = false
	}
	if c.inValue {
		return isText(b)
	}
	if b == ':' {
		c.inValue = true
		return c.column > 0
	}
	return isNameByte[b]
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// isText reports whether a byte may be a part of a value or reason phrase: all but control bytes.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

// isNameByte holds the bytes of tokens, of which names of fields consist.
var isNameByte = func() (table [256]bool) {
	for b := range table {
		c := byte(b)
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		table[b] = letter || isDigit(c) || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
	}
	return table
}()
