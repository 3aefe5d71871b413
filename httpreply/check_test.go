package httpreply_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"dogwooddrift.org/drift/httpreply"
	"dogwooddrift.org/drift/httpreply/replytest"
)

var message = replytest.Message{Status: "200 OK", Fields: "Server: s\r\n", Body: "ab"}

// scan checks text in pieces of the given size. It returns the number of sound bytes.
func scan(method, text string, size int) (sound int, err error) {
	var c httpreply.Check
	c.Reset(method)
	for sound < len(text) {
		piece := text[sound:min(sound+size, len(text))]
		n, err := c.Scan([]byte(piece))
		sound += n
		if err != nil {
			return sound, err
		}
	}
	return sound, nil
}

// Guards against a verdict that depends on how the bytes arrive.
func TestCheckOfForms(t *testing.T) {
	for size := range 40 {
		for _, c := range replytest.Broken {
			if _, err := scan(http.MethodGet, c.Encode(message), size+1); !errors.Is(err, httpreply.ErrMalformed) {
				t.Errorf("%s, in pieces of %d: %v", c.Name, size+1, err)
			}
		}
		for _, c := range replytest.Odd {
			if _, err := scan(http.MethodGet, c.Encode(message), size+1); err != nil {
				t.Errorf("%s, in pieces of %d: %v", c.Name, size+1, err)
			}
		}
	}
}

// Guards against a check that takes the bytes of a body for the next reply, or those after the end of a reply for its body.
func TestEndOfReply(t *testing.T) {
	const extra = "HTTP/1.1 000 Extra\r\n\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	for reply, method := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab":                                                          http.MethodGet,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                                            http.MethodGet,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n":                                                            http.MethodHead,
		"HTTP/1.1 204 No Content\r\n\r\n":                                                                         http.MethodGet,
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n":                                                  http.MethodGet,
		"HTTP/1.1 200 OK\r\n" + chunked + "0\r\n\r\n":                                                             http.MethodGet,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + chunked + "2\r\nab\r\n0\r\nA: b\r\n\r\n":                     http.MethodGet,
		"HTTP/1.1 200 OK\r\n" + chunked:                                                                           http.MethodHead,
		"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab":        http.MethodGet,
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n": http.MethodGet,
		"HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\nHTTP/1.1 000 in the body\n":                                 http.MethodGet,
	} {
		for size := range 40 {
			if sound, err := scan(method, reply+extra, size+1); sound != len(reply) || !errors.Is(err, httpreply.ErrExtra) {
				t.Errorf("%s %q, in pieces of %d: %d of %d bytes are sound, error %v", method, reply, size+1, sound, len(reply), err)
			}
		}
	}
	toClose := "HTTP/1.1 200 OK\r\n\r\n" + extra
	if sound, err := scan(http.MethodGet, toClose, 7); sound != len(toClose) || err != nil {
		t.Errorf("%q ends with its connection: %d bytes are sound, error %v", toClose, sound, err)
	}
}

// Guards against replies whose end net/http and the check see at different places, against fields that net/http accepts and that are not HTTP,
// and against a verdict that depends on how the bytes arrive.
func FuzzCheck(f *testing.F) {
	for _, forms := range [][]replytest.Case{replytest.Broken, replytest.Odd} {
		for _, c := range forms {
			f.Add([]byte(c.Encode(message)), false, uint8(3))
			f.Add([]byte(c.Encode(message)+"HTTP/1.1 000"), true, uint8(5))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, head bool, size uint8) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		sound, err := scan(method, string(text), len(text)+1)
		if sound2, err2 := scan(method, string(text), int(size)+1); sound != sound2 || !errors.Is(err2, err) {
			t.Fatalf("%d and %d bytes are sound, %v and %v", sound, sound2, err, err2)
		}
		if errors.Is(err, httpreply.ErrMalformed) {
			return
		}
		input := bytes.NewReader(text)
		reader := bufio.NewReader(input)
		for {
			response, parseErr := http.ReadResponse(reader, &http.Request{Method: method})
			if parseErr != nil {
				return // net/http may be stricter, and the text may be incomplete
			}
			for name := range response.Header {
				if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
					t.Fatalf("name %q", name)
				}
			}
			if response.StatusCode < 100 || response.StatusCode > 599 || response.StatusCode == http.StatusSwitchingProtocols {
				t.Fatalf("status %d", response.StatusCode)
			}
			if response.StatusCode < 200 {
				continue
			}
			if _, bodyErr := io.Copy(io.Discard, response.Body); bodyErr != nil {
				return
			}
			if read := len(text) - input.Len() - reader.Buffered(); read != sound {
				t.Fatalf("the reply ends after %d bytes, by the check after %d", read, sound)
			}
			return
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 1,0,2\r\n" +
		"Content-Length: 400\r\n\r\n" + strings.Repeat("0123456789abcdef", 25))
	var c httpreply.Check
	b.ReportAllocs()
	for b.Loop() {
		c.Reset(http.MethodGet)
		if _, err := c.Scan(text); err != nil {
			b.Fatal(err)
		}
	}
}
