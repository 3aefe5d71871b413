// Command 6 kills half of the instances at once, several times, and removes the entries of searchers while they are down. The
// searchers go on serving for some seconds. It looks for requests that reach them from instances that were never disturbed.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwooddrift.org/drift/review/6/bed"
)

const (
	instances, killed = 9, 5
	searchers         = 6
	leavingAtOnce     = 2
	rounds            = 8
	// roundTime leaves the instances that were not killed in a round in touch for ContactMs when DrainMs is over.
	roundTime = 10 * time.Second
	downTime  = 500 * time.Millisecond
	// firstLeave and nextLeave are when the entries are removed, after the kill.
	firstLeave, nextLeave = 200 * time.Millisecond, 150 * time.Millisecond
	drainTime             = 3 * time.Second // DrainMs
	contactTime           = 4 * time.Second // ContactMs
	// servesAfter is how long a searcher serves after its entry was removed: DrainMs and some seconds.
	servesAfter     = 7 * time.Second
	requestInterval = 10 * time.Millisecond
	host, key       = "shop.example", "key-of-t"
)

func main() {
	bed.Main(bed.Settings{Instances: instances}, 115*time.Second, run)
}

// watch is what the check needs to know.
type watch struct {
	mu sync.Mutex
	// removed is when the store acknowledged the removal of a searcher's entry, by its ID; disturbed is the last kill or start of an
	// instance, and late the requests that reached a searcher too late.
	removed   map[string]time.Duration
	disturbed map[string]time.Duration
	late      []string
}

// arrived checks a request that has reached a searcher. Its ID begins with the name of the instance that the client sent it to, and
// holds the time at which it did.
func (w *watch) arrived(b *bed.Bed, a bed.Arrival) {
	b.Record("%s reaches %s", a.Attempt, a.Searcher.ID)
	w.mu.Lock()
	defer w.mu.Unlock()
	removed, gone := w.removed[a.Searcher.ID]
	instance, _, _ := strings.Cut(a.Attempt, "/")
	last, ever := w.disturbed[instance]
	if !gone || a.At <= removed+drainTime || ever && a.At-last < contactTime+time.Second {
		return
	}
	w.late = append(w.late, fmt.Sprintf("%s reached %s %v after its entry was removed; the instance was last disturbed %v before",
		a.Attempt, a.Searcher.ID, (a.At-removed).Round(time.Millisecond), (a.At-last).Round(time.Millisecond)))
}

func start(b *bed.Bed, w *watch, n int) (*bed.Searcher, error) {
	s := &bed.Searcher{ID: fmt.Sprint("i-sub-", n), Service: "sub", Zone: bed.Zones[n%len(bed.Zones)], Work: 10 * time.Millisecond}
	s.Observe = func(a bed.Arrival) { w.arrived(b, a) }
	if err := b.StartSearcher(s); err != nil {
		return nil, err
	}
	s.Register("ready", 0)
	return s, nil
}

func configuration() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name": "sub", "Host": host, "Prefix": "/sub/", "Type": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 500, "Priority": 2,
			"Service": "sub", "MaxAttempts": 2, "Public": false,
		}},
		"Services": []map[string]any{{"Name": "sub", "HealthPath": "/health", "MaxConnections": 110, "WarmupS": 3.0, "WarmupPerS": 0.0}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []map[string]any{{"Name": "t", "ApiKeys": []string{key}, "Priority": 1, "RatePerS": 0, "Burst": 0}},
	}
}

// load sends requests to all instances in turn until stop is closed.
func load(b *bed.Bed, stop <-chan struct{}) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		i := b.Instances[n%len(b.Instances)]
		go func() {
			r, err := http.NewRequest(http.MethodGet, "http://"+i.FrontAddress()+"/sub/x", nil)
			if err != nil {
				panic(err)
			}
			id := fmt.Sprintf("%s/%d", i.Name, n)
			r.Host = host
			r.Header.Set("Attempt-Id", id)
			r.Header.Set("Request-Deadline", "1000")
			r.Header.Set("Api-Key", key)
			b.Record("sent %s", id)
			response, err := client.Do(r)
			if err != nil {
				b.Record("%s: no answer", id)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			b.Record("%s: answer %d", id, response.StatusCode)
		}()
	}
}

func run(b *bed.Bed) (int, error) {
	w := &watch{removed: map[string]time.Duration{}, disturbed: map[string]time.Duration{}}
	var serving []*bed.Searcher
	count := 0
	for range searchers {
		s, err := start(b, w, count)
		if err != nil {
			return 0, err
		}
		count++
		serving = append(serving, s)
	}
	b.Store.Put("op/config", configuration())
	if err := b.Start(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go load(b, stop)
	time.Sleep(6 * time.Second)
	for range rounds {
		end := time.Now().Add(roundTime)
		var victims []*bed.Instance
		if bed.Trouble() {
			for _, n := range rand.Perm(len(b.Instances))[:killed] {
				victims = append(victims, b.Instances[n])
			}
		}
		disturb := func(i *bed.Instance) {
			w.mu.Lock()
			w.disturbed[i.Name] = b.Now()
			w.mu.Unlock()
		}
		for _, i := range victims {
			disturb(i)
			i.Signal(syscall.SIGKILL, true)
		}
		restart := time.Now().Add(downTime)
		time.Sleep(firstLeave)
		for range leavingAtOnce {
			s := serving[0]
			serving = serving[1:]
			w.mu.Lock()
			b.Store.Remove("servers/" + s.ID)
			w.removed[s.ID] = b.Now()
			w.mu.Unlock()
			time.AfterFunc(servesAfter, s.Stop)
			time.Sleep(nextLeave)
		}
		time.Sleep(time.Until(restart))
		for _, i := range victims {
			if err := i.AwaitExit(time.Second); err != nil {
				return 0, err
			}
			disturb(i)
			if err := i.Start(); err != nil {
				return 0, err
			}
		}
		time.Sleep(2 * time.Second)
		for range leavingAtOnce {
			s, err := start(b, w, count)
			if err != nil {
				return 0, err
			}
			count++
			serving = append(serving, s)
		}
		time.Sleep(time.Until(end))
	}
	close(stop)
	time.Sleep(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, x := range w.late {
		if n < 20 {
			b.Say("%s", x)
		}
	}
	b.Say("%d requests reached a searcher later than %v after its entry was removed, from instances in touch", len(w.late), drainTime)
	if len(w.late) > 0 {
		return bed.StatusBroken, nil
	}
	return bed.StatusHeld, nil
}
