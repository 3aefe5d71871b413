// Package httpreply checks that the bytes which a peer sends are HTTP/1.1 replies (RFC 9110, RFC 9112). net/http also accepts some that are
// not, such as a status 000 or a blank in the name of a field, and passes them on.
package httpreply

import (
	"errors"
	"math"
	"net/http"
	"strings"
)

var (
	// ErrMalformed means that the bytes of a peer are not an HTTP/1.1 reply. None of its fields counts, and its connection must not be used
	// again. The request may have run.
	ErrMalformed = errors.New("not an HTTP reply")
	// ErrExtra means that bytes arrived after the end of a reply.
	ErrExtra = errors.New("bytes after the end of an HTTP reply")
)

// Check checks the reply to one request, with the interim replies before it. The request must not ask for another protocol, so that status 101 is
// malformed too. A Check keeps no bytes. The zero value is a check of the reply to a request whose method is not HEAD.
type Check struct {
	method string
	part   part
	// interim counts the interim replies that have ended.
	interim int

	// column is the number of bytes of the current line so far.
	column int
	// afterCR is true if the last byte was a carriage return.
	afterCR bool

	minorVersion byte
	status       int

	field fieldKind
	// inValue is true after the colon of a field, also on the lines that continue its value.
	inValue bool
	// continuable is true if the next line may continue a value.
	continuable bool
	// name holds the first bytes of the name of the current field.
	name [len(nameTransferEncoding)]byte

	encoded   bool // Transfer-Encoding was present
	hasLength bool // Content-Length was present
	length    int64
	// number is the length or size of which the digits arrive.
	number number
	// inExtension is true after the semicolon that follows the size of a chunk.
	inExtension bool

	// left is the number of bytes of the body or chunk that have not arrived.
	left int64
}

// part is the part of a reply to which the next byte belongs.
type part int

const (
	statusLine part = iota
	headerLine
	bodyToClose // ends with the connection
	bodyOfLength
	chunkSizeLine
	chunkData
	chunkEnd // the line end after the data of a chunk
	trailerLine
	complete
)

// fieldKind tells the fields apart that determine the length of a reply.
type fieldKind int

const (
	otherField fieldKind = iota
	contentLength
	transferEncoding
)

const (
	nameContentLength    = "content-length"
	nameTransferEncoding = "transfer-encoding"
)

const (
	// statusStart begins each status line. A digit of the version, a blank and the status code follow.
	statusStart  = "HTTP/1."
	statusColumn = len(statusStart) + len("1 ")
	reasonColumn = statusColumn + len("200")

	minStatus = 100
	maxStatus = 599
)

// Reset begins the check of the reply to a request with the method.
func (c *Check) Reset(method string) { *c = Check{method: method} }

// InterimReplies returns the number of interim (1xx) replies that have ended.
func (c *Check) InterimReplies() int { return c.interim }

// HeaderEnded reports whether the header of the final reply has ended.
func (c *Check) HeaderEnded() bool { return c.part != statusLine && c.part != headerLine }

// Scan checks the next bytes from the connection. It returns the number of bytes that are a part of a sound reply; if that is not all of
// them, the error is ErrMalformed or ErrExtra. After ErrMalformed, only Reset may be called.
func (c *Check) Scan(p []byte) (int, error) {
	for n := 0; n < len(p); {
		switch c.part {
		case complete:
			return n, ErrExtra
		case bodyToClose:
			return len(p), nil
		case bodyOfLength, chunkData:
			skipped := min(int64(len(p)-n), c.left)
			n += int(skipped)
			c.skip(skipped)
		default:
			if !c.scanLine(p[n]) {
				return n, ErrMalformed
			}
			n++
		}
	}
	return len(p), nil
}

// skip records that bytes of a body or chunk have arrived.
func (c *Check) skip(n int64) {
	if c.left -= n; c.left > 0 {
		return
	}
	if c.part == chunkData {
		c.part = chunkEnd
	} else {
		c.part = complete
	}
}

// scanLine checks a byte of a line. As RFC 9112 allows, a line feed without a carriage return ends a line too.
func (c *Check) scanLine(b byte) bool {
	if b == '\n' {
		sound := c.endLine()
		c.column, c.afterCR = 0, false
		return sound
	}
	if c.afterCR {
		return false
	}
	if b == '\r' {
		c.afterCR = true
		return true
	}
	sound := false
	switch c.part {
	case statusLine:
		sound = c.scanStatus(b)
	case headerLine, trailerLine:
		sound = c.scanField(b)
	case chunkSizeLine:
		sound = c.scanChunkSize(b)
	}
	c.column++
	return sound
}

// endLine checks that the current line may end.
func (c *Check) endLine() bool {
	switch c.part {
	case statusLine:
		c.part, c.continuable = headerLine, false
		return c.column >= reasonColumn && minStatus <= c.status && c.status <= maxStatus
	case headerLine, trailerLine:
		if c.column > 0 {
			c.continuable = true
			return c.inValue
		}
		if !c.endField() {
			return false
		}
		if c.part == trailerLine {
			c.part = complete
			return true
		}
		return c.endHeader()
	case chunkSizeLine:
		size := c.number
		c.number, c.inExtension = number{}, false
		if c.left = size.value; size.value > 0 {
			c.part = chunkData
		} else {
			c.part, c.continuable = trailerLine, false
		}
		return size.digits
	default: // chunkEnd
		c.part = chunkSizeLine
		return true
	}
}

// scanStatus checks a byte of the status line.
func (c *Check) scanStatus(b byte) bool {
	switch {
	case c.column < len(statusStart):
		return b == statusStart[c.column]
	case c.column == len(statusStart):
		c.minorVersion = b
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

// scanField checks a byte of a line of the header or trailer.
func (c *Check) scanField(b byte) bool {
	if c.column == 0 {
		if isBlank(b) {
			return c.continuable && c.scanValue(b)
		}
		if !c.endField() {
			return false
		}
		c.inValue, c.field = false, otherField
	}
	if c.inValue {
		return c.scanValue(b)
	}
	if b == ':' {
		c.inValue = true
		c.field = c.kindOfField()
		return c.column > 0
	}
	if c.column < len(c.name) {
		c.name[c.column] = b
	}
	return isNameByte[b]
}

// kindOfField returns the kind of the field whose name has just ended. Trailers do not determine the length of a reply.
func (c *Check) kindOfField() fieldKind {
	if c.part == trailerLine || c.column > len(c.name) {
		return otherField
	}
	switch name := string(c.name[:c.column]); {
	case strings.EqualFold(name, nameContentLength):
		return contentLength
	case strings.EqualFold(name, nameTransferEncoding):
		c.encoded = true
		return transferEncoding
	}
	return otherField
}

// scanValue checks a byte of the value of a field.
func (c *Check) scanValue(b byte) bool {
	if c.field == contentLength {
		return c.number.scan(b, 10)
	}
	return isText(b)
}

// endField checks the value of the field that ended before the current line.
func (c *Check) endField() bool {
	if c.field != contentLength {
		return true
	}
	length := c.number
	c.field, c.number = otherField, number{}
	if !length.digits || c.hasLength && length.value != c.length {
		return false
	}
	c.hasLength, c.length = true, length.value
	return true
}

// endHeader determines what follows the header.
func (c *Check) endHeader() bool {
	bodiless := c.method == http.MethodHead || c.status == http.StatusNoContent || c.status == http.StatusNotModified
	switch {
	case c.minorVersion == '0' && c.encoded:
		return false // RFC 9112, 6.1: the framing is faulty
	case c.status == http.StatusSwitchingProtocols:
		return false // no request asks for another protocol
	case c.status < http.StatusOK:
		*c = Check{method: c.method, interim: c.interim + 1}
	case bodiless:
		c.part = complete
	case c.encoded:
		c.part = chunkSizeLine
	case !c.hasLength:
		c.part = bodyToClose
	case c.length == 0:
		c.part = complete
	default:
		c.part, c.left = bodyOfLength, c.length
	}
	return true
}

// scanChunkSize checks a byte of a line with the size of a chunk and its extensions, which are ignored.
func (c *Check) scanChunkSize(b byte) bool {
	if c.inExtension {
		return isText(b)
	}
	if b == ';' {
		c.inExtension = true
		return c.number.digits
	}
	return c.number.scan(b, 16)
}

// number is an unsigned number that may have blanks around it.
type number struct {
	value  int64
	digits bool // there was a digit
	ended  bool // a blank came after the digits
}

// scan adds a byte of the number. It returns false if the byte cannot follow or the number is too large.
func (n *number) scan(b byte, base int64) bool {
	if isBlank(b) {
		n.ended = n.digits
		return true
	}
	digit := digitValue(b)
	if digit >= base || n.ended || n.value > (math.MaxInt64-digit)/base {
		return false
	}
	n.value, n.digits = n.value*base+digit, true
	return true
}

// digitValue returns the value of a hexadecimal digit, and a larger value for other bytes.
func digitValue(b byte) int64 {
	switch {
	case isDigit(b):
		return int64(b - '0')
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10
	}
	return math.MaxInt8
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
