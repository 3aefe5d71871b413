package documenthttp

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/httpreply/replytest"
)

// instanceList is the content of an instance list.
const instanceList = `{"revision":7,"instances":[]}`

// readList reads an instance list from a platform whose replies have the form.
func readList(t *testing.T, c replytest.Case, m replytest.Message) (*replytest.Received, func() (*document.InstanceList, error)) {
	address, received := replytest.StartPeer(t, c.Unframed, func(*http.Request) string { return c.Encode(m) })
	client := New("http://"+address, &http.Client{Transport: &http.Transport{}})
	return received, func() (*document.InstanceList, error) {
		list, _, err := client.ReadInstances(context.Background(), 6, 0, time.Second)
		return list, err
	}
}

// Guards against a list, and the news that there is no newer one, that are believed from a reply that is not HTTP, and against further requests
// on its connection.
func TestMalformedReplyOfThePlatformIsNone(t *testing.T) {
	for _, c := range replytest.Broken {
		t.Run(c.Name, func(t *testing.T) {
			received, read := readList(t, c, replytest.Message{Status: "200 OK", Body: instanceList})
			for range 2 {
				if list, err := read(); !errors.Is(err, document.ErrUnavailable) {
					t.Errorf("%+v, %v", list, err)
				}
			}
			if received.Reused.Load() > 0 {
				t.Error("the connection carried another request")
			}
		})
	}
	received, read := readList(t, replytest.Case{Encode: func(replytest.Message) string { return "HTTP/1.1 304 Not Modified\r\nX Own: 1\r\n\r\n" }}, replytest.Message{})
	for range 2 {
		if list, err := read(); !errors.Is(err, document.ErrUnavailable) {
			t.Errorf("not modified: %+v, %v", list, err)
		}
	}
	if received.Reused.Load() > 0 {
		t.Error("not modified: the connection carried another request")
	}
}

// Guards against sound replies of the platform that are refused because of their form.
func TestOddReplyOfThePlatformIsRead(t *testing.T) {
	for _, c := range replytest.Odd {
		t.Run(c.Name, func(t *testing.T) {
			received, read := readList(t, c, replytest.Message{Status: "200 OK", Body: instanceList})
			for range 2 {
				if list, err := read(); err != nil || list.Revision != 7 {
					t.Errorf("%+v, %v", list, err)
				}
			}
			if !c.Unframed && received.Connections.Load() != 1 {
				t.Errorf("%d connections for two reads", received.Connections.Load())
			}
		})
	}
}
