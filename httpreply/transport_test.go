package httpreply_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"dogwooddrift.org/drift/httpreply"
	"dogwooddrift.org/drift/httpreply/replytest"
)

// Guards against a request, waiting for a connection, that gets the bytes which came after the reply to the one before.
func TestExtraBytesAreNoReply(t *testing.T) {
	extra := replytest.Sound(replytest.Message{Status: "200 OK", Body: "extra"})
	address, received := replytest.StartPeer(t, false, func(*http.Request) string {
		return replytest.Sound(replytest.Message{Status: "200 OK", Body: "own"}) + extra
	})
	client := httpreply.Client(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}})
	var requests sync.WaitGroup
	for range 50 {
		requests.Go(func() {
			response, err := client.Post("http://"+address, "text/plain", strings.NewReader("body"))
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != "own" {
				t.Errorf("body %q, %v", body, err)
			}
		})
	}
	requests.Wait()
	if received.Reused.Load() > 0 {
		t.Errorf("%d requests on connections on which other bytes had arrived", received.Reused.Load())
	}
}

// Guards against a malformed reply whose connection is given to a request that waits for one.
func TestConnectionOfAMalformedReplyIsClosed(t *testing.T) {
	for _, c := range replytest.Broken {
		address, received := replytest.StartPeer(t, c.Unframed, func(*http.Request) string { return c.Encode(message) })
		client := httpreply.Client(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}})
		var requests sync.WaitGroup
		for range 10 {
			requests.Go(func() {
				response, err := client.Post("http://"+address, "text/plain", strings.NewReader("body"))
				if err == nil {
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				if !errors.Is(err, httpreply.ErrMalformed) {
					t.Errorf("%s: %v", c.Name, err)
				}
			})
		}
		requests.Wait()
		if received.Reused.Load() > 0 || received.Requests.Load() != 10 {
			t.Errorf("%s: %d requests, %d on an old connection", c.Name, received.Requests.Load(), received.Reused.Load())
		}
	}
}

// Guards against replies of net/http's own server that are refused: without a body, with a length, in chunks and with a trailer, to methods with
// and without a body, on one connection.
func TestRepliesOfNetHTTPPass(t *testing.T) {
	var mu sync.Mutex
	connections := map[string]bool{} // by the address of the client
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		connections[r.RemoteAddr] = true
		mu.Unlock()
		switch r.URL.Path {
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/short":
			_, _ = io.WriteString(w, "short")
		case "/long":
			for range 100 {
				_, _ = io.WriteString(w, strings.Repeat("long", 1000))
			}
		case "/trailer":
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Set("Trailer", "X-Own")
			_, _ = io.WriteString(w, "text")
			w.Header().Set("X-Own", "1")
		}
	}))
	defer server.Close()
	client := httpreply.Client(server.Client())
	for range 2 {
		for _, path := range []string{"/none", "/short", "/long", "/trailer"} {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				request, err := http.NewRequest(method, server.URL+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				response, err := client.Do(request)
				if err != nil {
					t.Fatalf("%s %s: %v", method, path, err)
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				length := map[string]int{"/short": 5, "/long": 400_000, "/trailer": 4}[path]
				if method == http.MethodHead {
					length = 0
				}
				if err != nil || len(body) != length || path == "/trailer" && method != http.MethodHead && response.Trailer.Get("X-Own") != "1" {
					t.Errorf("%s %s: %d bytes, trailer %v, %v", method, path, len(body), response.Trailer, err)
				}
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(connections) != 1 {
		t.Errorf("%d connections", len(connections))
	}
}
