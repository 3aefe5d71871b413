// Package replytest holds replies for the tests of the packages that read them: replies that are not HTTP/1.1, and sound ones in forms that
// peers rarely use.
package replytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Message is what a reply says. A case gives it its form on the wire.
type Message struct {
	// Status is the status code and the reason phrase.
	Status string
	// Fields holds whole lines.
	Fields string
	// Body must not be empty: a chunk with nothing in it would be the last one.
	Body string
}

// Case is a form of replies.
type Case struct {
	Name   string
	Encode func(Message) string
	// Unframed means that only the end of the connection ends the reply.
	Unframed bool
}

// Sound returns the usual form of a message.
func Sound(m Message) string { return statusLine(m) + withLength(m) }

func statusLine(m Message) string { return "HTTP/1.1 " + m.Status + "\r\n" }

// withLength returns all of a reply but its status line.
func withLength(m Message) string {
	return m.Fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(m.Body)) + m.Body
}

// begin returns a form with another beginning of the status line, which includes the status code.
func begin(name, text string) Case {
	return Case{Name: name, Encode: func(m Message) string { return text + " Reason\r\n" + withLength(m) }}
}

// line returns a form with one more header line.
func line(name, text string) Case {
	return Case{Name: name, Encode: func(m Message) string { return statusLine(m) + text + "\r\n" + withLength(m) }}
}

// lastLine is line at the end of the header.
func lastLine(name, text string) Case {
	return Case{Name: name, Encode: func(m Message) string {
		m.Fields += text + "\r\n"
		return Sound(m)
	}}
}

// length returns a form with other header lines for the length of the body.
func length(name, format string) Case {
	return Case{Name: name, Encode: func(m Message) string {
		return statusLine(m) + m.Fields + strings.ReplaceAll(format, "N", fmt.Sprint(len(m.Body))) + "\r\n\r\n" + m.Body
	}}
}

// chunks returns a form in chunks, in which format has the body as %[2]s and its length as %[1]x.
func chunks(name, format string) Case {
	return Case{Name: name, Encode: func(m Message) string {
		return statusLine(m) + m.Fields + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf(format, len(m.Body), m.Body)
	}}
}

// before returns a form in which an interim reply comes first.
func before(name, interim string) Case {
	return Case{Name: name, Encode: func(m Message) string { return interim + Sound(m) }}
}

// Broken holds the forms that are not HTTP/1.1 (RFC 9110 and RFC 9112).
var Broken = []Case{
	begin("status 000", "HTTP/1.1 000"), begin("status 099", "HTTP/1.1 099"), begin("status 600", "HTTP/1.1 600"),
	begin("status 999", "HTTP/1.1 999"), begin("status of two digits", "HTTP/1.1 20"), begin("status of four digits", "HTTP/1.1 2000"),
	begin("status with a sign", "HTTP/1.1 +20"), begin("status with a letter", "HTTP/1.1 2x0"), begin("two blanks before the status", "HTTP/1.1  200"),
	begin("tab before the status", "HTTP/1.1\t200"), begin("no status", "HTTP/1.1"), begin("version 2", "HTTP/2.0 200"),
	begin("version without a number", "HTTP/1.x 200"), begin("version of three parts", "HTTP/1.1.1 200"), begin("protocol in small letters", "http/1.1 200"),
	begin("blank before the protocol", " HTTP/1.1 200"), begin("control byte in the reason", "HTTP/1.1 200 a\x01b"),
	begin("switch of protocols", "HTTP/1.1 101"), begin("carriage return in the reason", "HTTP/1.1 200 a\rb"), begin("empty line before the status line", "\r\nHTTP/1.1 200"),

	line("blank in a name", "X Own: 1"), line("blank before the colon", "X-Own : 1"), line("tab before the colon", "X-Own\t: 1"),
	line("control byte in a name", "X-\x01Own: 1"), line("zero byte in a name", "X-\x00Own: 1"), line("delete byte in a name", "X-\x7fOwn: 1"),
	line("carriage return in a name", "X-\rOwn: 1"), line("byte above ASCII in a name", "X-\xc3\xb6wn: 1"), line("bracket in a name", "X-(Own): 1"),
	line("no name", ": 1"), line("no colon", "X-Own"), line("blank before the first field", " X-Own: 1"), line("only a blank first", " "),
	line("control byte in a value", "X-Own: a\x02b"), line("zero byte in a value", "X-Own: a\x00b"), line("delete byte in a value", "X-Own: a\x7fb"),
	line("carriage return in a value", "X-Own: a\rb"), line("control byte in a folded value", "X-Own: a\r\n b\x02"), line("two carriage returns", "X-Own: a\r"),
	lastLine("blank in the last name", "X Own: 1"), lastLine("control byte in the last name", "X\x1fOwn: 1"),

	length("blank in the name of the length", "Content Length: N"), length("blank after the name of the length", "Content-Length : N"),
	length("length with a sign", "Content-Length: +N"), length("length with a letter", "Content-Length: Nx"), length("length with a blank", "Content-Length: 0 N"),
	length("empty length", "Content-Length:"), length("two lengths", "Content-Length: N\r\nContent-Length: 1N"),
	length("length above all bounds", "Content-Length: 99999999999999999999"),
	length("blank in the name of the encoding", "Content-Length: N\r\nTransfer Encoding: chunked"),

	before("interim with a blank in a name", "HTTP/1.1 103 Early Hints\r\nX Own: 1\r\n\r\n"),
	before("interim with a control byte in a name", "HTTP/1.1 100 Continue\r\nX\x01Own: 1\r\n\r\n"),
	before("interim with a control byte in the reason", "HTTP/1.1 100 a\x01\r\n\r\n"),
	before("interim with two blanks before the status", "HTTP/1.1  103 Early Hints\r\n\r\n"),

	chunks("chunk size with a sign", "+%[1]x\r\n%[2]s\r\n0\r\n\r\n"), chunks("chunk size with a prefix", "0x%[1]x\r\n%[2]s\r\n0\r\n\r\n"),
	chunks("no chunk size", "\r\n%[2]s\r\n0\r\n\r\n"), chunks("control byte in a chunk extension", "%[1]x;a=\x01\r\n%[2]s\r\n0\r\n\r\n"),
	chunks("control byte in the last extension", "%[1]x\r\n%[2]s\r\n0;a=\x01\r\n\r\n"), chunks("chunk longer than its size", "%[1]x\r\n%[2]s+\r\n0\r\n\r\n"),
	chunks("blank in the name of a trailer", "%[1]x\r\n%[2]s\r\n0\r\nX Own: 1\r\n\r\n"),
	chunks("control byte in the name of a trailer", "%[1]x\r\n%[2]s\r\n0\r\nX\x01Own: 1\r\n\r\n"),
	chunks("control byte in a trailer", "%[1]x\r\n%[2]s\r\n0\r\nX-Own: \x01\r\n\r\n"), chunks("trailer without a colon", "%[1]x\r\n%[2]s\r\n0\r\nX-Own\r\n\r\n"),
	{Name: "chunks in version 1.0", Encode: func(m Message) string {
		return fmt.Sprintf("HTTP/1.0 %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", m.Status, m.Fields, len(m.Body), m.Body)
	}, Unframed: true},
}

// Odd holds forms that are rare but sound.
var Odd = []Case{
	{Name: "usual", Encode: Sound},
	begin("version 1.7", "HTTP/1.7 200"), begin("no reason", "HTTP/1.1 200"), begin("reason with other bytes", "HTTP/1.1 200 \xe9\t(\x80)"),
	{Name: "no blank after the status", Encode: func(m Message) string { return "HTTP/1.1 200\r\n" + withLength(m) }},
	{Name: "lines end without a carriage return", Encode: func(m Message) string {
		head, body, _ := strings.Cut(Sound(m), "\r\n\r\n")
		return strings.ReplaceAll(head, "\r\n", "\n") + "\n\n" + body
	}},
	line("all characters of names", "!#$%&'*+-.^_`|~09azAZ: 1"), line("empty value", "X-Own:"), line("only blanks as value", "X-Own: \t "),
	line("value with other bytes", "X-Own: \xe9 \x80\xff \t\"\\:;,{}"), line("folded value", "X-Own: a\r\n b\r\n\tc"), line("value folded to an empty line", "X-Own: a\r\n \t"),
	line("name twice", "X-Own: 1\r\nx-own: 2"), line("name of one byte", "x: 1"), line("no blank after the colon", "X-Own:1"),
	length("length in small letters", "content-length: N"), length("length twice", "Content-Length: N\r\nContent-Length: N"), length("length with zeros", "Content-Length: 00N"),
	length("length among blanks", "Content-Length: \t N \t"), length("folded length", "Content-Length:\r\n N"), length("name that begins as the length", "Content-Length-Of: x\r\nContent-Length: N"),
	before("interim replies", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 \r\nTransfer-Encoding: chunked\r\n\r\n"),
	chunks("chunks", "%[1]x\r\n%[2]s\r\n0\r\n\r\n"), chunks("chunk size in capitals with zeros", "000%[1]X\r\n%[2]s\r\n000\r\n\r\n"),
	chunks("chunk extensions", "%[1]x;a=\"b c\";d\r\n%[2]s\r\n0;e\r\n\r\n"), chunks("trailers", "%[1]x\r\n%[2]s\r\n0\r\nX-Own: 1\r\nX-Other: 2\r\n\r\n"),
	{Name: "encoding in other letters", Encode: func(m Message) string {
		return statusLine(m) + m.Fields + fmt.Sprintf("transfer-encoding:  Chunked \r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(m.Body), m.Body)
	}},
	{Name: "to the end of the connection", Encode: func(m Message) string {
		return statusLine(m) + m.Fields + "Connection: close\r\n\r\n" + m.Body
	}, Unframed: true},
	{Name: "version 1.0", Encode: func(m Message) string { return "HTTP/1.0 " + m.Status + "\r\n" + m.Fields + "\r\n" + m.Body }, Unframed: true},
}

// Received counts what a peer received.
type Received struct {
	Requests, Connections atomic.Int64
	// Reused counts the requests on a connection that had carried an earlier one.
	Reused atomic.Int64
}

// StartPeer starts a peer that replies to each request, whose body it reads, with the text that reply returns. It closes the connection
// after an empty text, and after each reply if it is unframed.
func StartPeer(t testing.TB, unframed bool, reply func(*http.Request) string) (address string, received *Received) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	received = &Received{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			received.Connections.Add(1)
			go serve(c, unframed, reply, received)
		}
	}()
	return l.Addr().String(), received
}

func serve(c net.Conn, unframed bool, reply func(*http.Request) string, received *Received) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for first := true; ; first = false {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		received.Requests.Add(1)
		if !first {
			received.Reused.Add(1)
		}
		text := reply(r)
		if _, err := io.WriteString(c, text); err != nil || unframed || text == "" {
			return
		}
	}
}
