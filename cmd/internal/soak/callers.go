package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/load"
	"dogwooddrift.org/drift/cmd/internal/standin"
)

// callers sends requests and keeps what was learned of each change.
type callers struct {
	soak   *soak
	client *http.Client

	mu      sync.Mutex
	changes map[string]load.ChangeResult
	codes   map[string]int
}

const (
	// callerTimeout is how long a caller waits. Connections stay open until their process is gone.
	callerTimeout = 2 * time.Second
	// callerPause is the time between two requests of one caller.
	callerPause = 20 * time.Millisecond
	// maxSends is how often a caller sends a change that was not answered.
	maxSends = 4
)

func newCallers(s *soak) *callers {
	return &callers{
		soak: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}},
		changes: map[string]load.ChangeResult{}, codes: map[string]int{},
	}
}

// start runs the callers until the result is called.
func (c *callers) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for w := range workers {
		running.Go(func() {
			for n := 0; sleep(ctx, callerPause); n++ {
				if w%2 == 0 {
					c.query(c.soak.instances[(w+n)%len(c.soak.instances)], fmt.Sprintf("q%d.%d", w, n))
					continue
				}
				c.change(w+n, fmt.Sprintf("k%d.%d", w, n))
			}
		})
	}
	return func() { cancel(); running.Wait() }
}

// query sends a query and reports whether it was answered.
func (c *callers) query(to *instance, text string) bool {
	r := c.send(to, "search/query", map[string]string{"query": text}, "")
	if r == nil || r.Code != "" {
		return false
	}
	for _, wrong := range load.UntruthfulAnswer(text, r, c.soak.fleet.Shards("search", r.Snapshot)) {
		c.soak.find("query %q at %s: %s", text, to.id, wrong)
	}
	return true
}

// change sends a change to one instance after another until it is answered.
func (c *callers) change(n int, name string) bool {
	for attempt := range maxSends {
		to := c.soak.instances[(n+attempt)%len(c.soak.instances)]
		r := c.send(to, "orders/changes", map[string]string{"change": name}, name)
		c.mu.Lock()
		known := c.changes[name]
		known.Sent++
		answered := r != nil && r.Code == ""
		switch {
		case answered:
			known.Answered++
		case r != nil && r.Ran == string(caller.RanNo):
			known.NotRun++
		}
		c.changes[name] = known
		c.mu.Unlock()
		if answered {
			if want := standin.Outcome(name); r.Outcome != want {
				c.soak.find("change %s at %s: outcome %q, want %q", name, to.id, r.Outcome, want)
			}
			return true
		}
		time.Sleep(callerPause)
	}
	return false
}

// send returns the response, nil if there was none.
func (c *callers) send(to *instance, path string, body map[string]string, idempotencyKey string) *load.Response {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+time.Second)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings always encode
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+"/v1/services/"+path, bytes.NewReader(text))
	if err != nil {
		c.soak.find("%v", err)
		return nil
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Drift-Timeout-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if idempotencyKey != "" {
		// In this spelling net/http does not send the request again by itself.
		r.Header["idempotency-key"] = []string{idempotencyKey}
	}
	response, err := c.client.Do(r)
	if err != nil {
		c.count("no response")
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	out := &load.Response{}
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		c.count("response cut off")
		return nil
	}
	if response.StatusCode != http.StatusOK && out.Code == "" {
		c.soak.find("status %d without a code from %s", response.StatusCode, to.id)
	}
	c.count(strings.TrimSpace("answer " + out.Code))
	return out
}

func (c *callers) count(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codes[code]++
}

// checkRecovery sends requests to each instance until one of each kind is answered.
func (c *callers) checkRecovery(ctx context.Context) {
	end := time.Now().Add(recovery)
	for n, i := range c.soak.instances {
		for try := 0; !c.query(i, fmt.Sprintf("after %s %d", i.id, try)); try++ {
			if time.Now().After(end) || !sleep(ctx, callerPause) {
				c.soak.find("%s answers no query %v after the last fault", i.id, recovery)
				break
			}
		}
		for try := 0; !c.change(n, fmt.Sprintf("after %s %d", i.id, try)); try++ {
			if time.Now().After(end) || !sleep(ctx, callerPause) {
				c.soak.find("no change is answered %v after the last fault", recovery)
				break
			}
		}
	}
}

// checkChanges compares what callers learned with what ran.
func (c *callers) checkChanges() {
	runs := c.soak.fleet.Changes()
	for name, learned := range c.changes {
		for _, wrong := range load.UntruthfulChange(name, learned, runs[standin.ChangeKey(organisation, name)]) {
			c.soak.find("%s", wrong)
		}
	}
}

func (c *callers) report() {
	c.soak.Report("%d changes; responses: %v", len(c.changes), c.codes)
}
