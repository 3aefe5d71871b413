package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwooddrift.org/drift/httpreply/replytest"
	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/platform/platformtest"
)

// Guards against a caller that gets a malformed reply of a target as an answer, complete or as a part of a gathered one, or the promise in it
// that its request did not run, and against a non-idempotent request that is sent again after it.
func TestMalformedReplyReachesNoCaller(t *testing.T) {
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	var form atomic.Pointer[replytest.Case]
	form.Store(&replytest.Odd[0])
	var refuses atomic.Bool
	reply := func(id string) func(r *http.Request) string {
		return func(r *http.Request) string {
			attempt := r.Header.Get(platform.HeaderRequestID)
			m := replytest.Message{Status: "200 OK", Body: strings.Repeat(id, 16)[:16], Fields: platform.HeaderRequestID + ": " + attempt + "\r\n" +
				platform.HeaderSignature + ": " + platformtest.Signature(id, attempt) + "\r\n"}
			if refuses.Load() {
				m.Status, m.Fields = "503 Busy", m.Fields+platform.HeaderNotRun+": 1\r\n"
			}
			return form.Load().Encode(m)
		}
	}
	var changes *replytest.Received
	for _, service := range []string{"one", "s0", "s1"} {
		x := &platformtest.Target{ID: "i-" + service + "-0", Service: service, Zone: "z"}
		address, received := replytest.StartPeer(t, false, reply(x.ID))
		if service == "one" {
			changes = received
		}
		x.Register(store, address)
	}
	store.Put("op/config", platformtest.Configuration(1, "shop.example", "key", []string{"s0", "s1"}, "one"))
	callers, _ := startInstance(t, strings.TrimPrefix(server.URL, "http://"))

	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	attempts := 0
	ask := func(method, path string) (*http.Response, error) {
		attempts++
		r, err := platformtest.CallerRequest(method, callers, "shop.example", path, fmt.Sprint("attempt-", attempts), "key", 2*time.Second, "")
		if err != nil {
			return nil, err
		}
		response, err := client.Do(r)
		if err != nil {
			return nil, err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return response, err
	}
	// serve waits until the targets serve with sound replies. An instance avoids a target that gives no reply for long.
	serve := func(t *testing.T) {
		t.Helper()
		form.Store(&replytest.Odd[0])
		refuses.Store(false)
		for limit := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			many, manyErr := ask(http.MethodGet, "/many/x")
			one, oneErr := ask(http.MethodPost, "/one/x")
			if manyErr == nil && oneErr == nil && many.StatusCode == http.StatusOK && one.StatusCode == http.StatusOK {
				return
			}
			if time.Now().After(limit) {
				t.Fatal("the instance does not serve")
			}
		}
	}
	for _, c := range replytest.Broken {
		if c.Unframed {
			continue // on old connections, the peer closes none
		}
		t.Run(c.Name, func(t *testing.T) {
			for _, refused := range []bool{false, true} {
				for _, path := range []string{"/one/x", "/read/x", "/many/x"} {
					method := http.MethodPost
					if path == "/many/x" {
						method = http.MethodGet
					}
					serve(t)
					before := changes.Requests.Load()
					form.Store(&c)
					refuses.Store(refused)
					response, err := ask(method, path)
					switch {
					case err != nil:
						t.Errorf("%s, refused %v: %v", path, refused, err)
					case response.StatusCode != http.StatusBadGateway || response.Header.Get(platform.HeaderSignature) != "":
						t.Errorf("%s, refused %v: status %d, header %v", path, refused, response.StatusCode, response.Header)
					}
					if sent := changes.Requests.Load() - before; path == "/one/x" && sent != 1 {
						t.Errorf("%s, refused %v: sent %d times", path, refused, sent)
					}
				}
			}
		})
	}
	serve(t)
}
