package targetshttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwooddrift.org/drift/targets"
)

// listen accepts TCP connections and serves each with f until the test ends.
func listen(t *testing.T, f func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return l.Addr().String()
}

func newTestClient(t *testing.T) *Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return New(&http.Client{Transport: transport})
}

func testChange(address, id, body string) Change {
	return Change{RequestID: targets.RequestID(id), IdempotencyKey: "k", Target: &targets.Target{Address: address, Stats: &targets.TargetStats{}}, Timeout: time.Second, Body: []byte(body)}
}

// Guards against a second run of a change whose connection broke after the request was written, with a fresh and a
// reused connection, with and without a body.
func TestBrokenConnectionDoesNotResendChange(t *testing.T) {
	for _, body := range []string{"text", ""} {
		for _, reset := range []bool{false, true} {
			var served atomic.Int64
			address := listen(t, func(c net.Conn) {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if served.Add(1); req.Header.Get(HeaderRequestID) != "first" {
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+HeaderRequestID+": first\r\n\r\n")
				}
			})
			client := newTestClient(t)
			if _, err := client.Change(t.Context(), testChange(address, "first", body)); err != nil {
				t.Fatal(err)
			}
			_, err := client.Change(t.Context(), testChange(address, "second", body))
			if !errors.Is(err, targets.ErrFailed) {
				t.Errorf("body %q, reset %v: error is %v, want ErrFailed", body, reset, err)
			}
			if n := served.Load(); n != 2 {
				t.Errorf("body %q, reset %v: the target got %d requests, want 2", body, reset, n)
			}
		}
	}
}

// Guards against following redirects, by which net/http would send a change to a second target.
func TestRedirectDoesNotResendChange(t *testing.T) {
	var served atomic.Int64
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		http.Redirect(w, r, server.URL+ChangePath, http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	_, err := newTestClient(t).Change(t.Context(), testChange(strings.TrimPrefix(server.URL, "http://"), "r", "text"))
	if !errors.Is(err, targets.ErrFailed) || served.Load() != 1 {
		t.Errorf("error is %v after %d requests, want ErrFailed after 1", err, served.Load())
	}
}

// Guards against reporting a change as not sent when it is cancelled while net/http passes it to a connection: another
// goroutine writes it, so the bytes may be sent after Do has returned.
func TestCancelledChangeIsNotCalledUnsent(t *testing.T) {
	var mu sync.Mutex
	received := map[string]bool{}
	var open sync.WaitGroup
	address := listen(t, func(c net.Conn) {
		defer open.Done()
		defer func() { _ = c.Close() }()
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			mu.Lock()
			received[req.Header.Get(HeaderRequestID)] = true
			mu.Unlock()
		}
	})
	reached := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(received) > 0
	}
	// The scheduler decides whether the cancellation or the write comes first, so more tries may be needed until some
	// change has reached the target.
	const tries, maxTries = 500, 50_000
	unsent := map[string]bool{}
	for i := 0; i < tries || i < maxTries && !reached(); i++ {
		ctx, cancel := context.WithCancel(t.Context())
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
			if err == nil {
				open.Add(1)
			}
			return c, err
		}}
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }}
		id := strconv.Itoa(i)
		_, err := New(&http.Client{Transport: transport}).Change(httptrace.WithClientTrace(ctx, trace), testChange(address, id, "text"))
		unsent[id] = errors.Is(err, targets.ErrNotSent)
		transport.CloseIdleConnections()
	}
	open.Wait()
	for id := range received {
		if unsent[id] {
			t.Fatalf("change %s reached the target but is reported as not sent", id)
		}
	}
	if len(received) == 0 {
		t.Error("no cancelled change reached the target, so the case is not tested")
	}
}

// Guards against accepting the reply to another request as the outcome of a change, and against reporting a refused
// connection or a shed change as possibly run.
func TestChangeErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderRequestID) == "shed" {
			w.Header().Set(HeaderRan, RanNo)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(HeaderRequestID, "another")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := l.Addr().String()
	_ = l.Close()
	for _, c := range []struct {
		address, id string
		want        error
	}{{address, "mine", targets.ErrFailed}, {address, "shed", targets.ErrShed}, {gone, "mine", targets.ErrNotSent}} {
		if _, err := newTestClient(t).Change(t.Context(), testChange(c.address, c.id, "")); !errors.Is(err, c.want) {
			t.Errorf("request %q: error is %v, want %v", c.id, err, c.want)
		}
	}
}
