package edge

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"dogwooddrift.org/drift/platform/platformtest"
)

// Guards against questions that are answered although they are not understood.
func TestWhereRefusesBadQueries(t *testing.T) {
	for query, want := range map[string]string{
		"host=h&path=/x": "",
		"host=h&path=/x&organisation=o&services=7": "",
		"path=/x":                      "host is missing",
		"host=h":                       "a path that begins with a slash",
		"host=h&path=x":                "a path that begins with a slash",
		"host=h&path=/x&host=i":        `"host" is given 2 times`,
		"host=h&path=/x&organization=": "unknown parameter",
		"host=h&path=/x&services=-1":   "a number from 0 to",
		"host=h&path=/x&services=1e9":  "a number from 0 to",
		"host=h&path=/x&services=2+2":  "a number from 0 to",
		"host=h&path=/" + strings.Repeat("x", maxWhereValue): "longer than",
	} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		_, err = parseWhere(values)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%.60s: error %v, want %q", query, err, want)
		}
	}
}

// Guards against a preview that a running instance answers wrongly, or that reaches a target.
func TestWhereOfARunningInstance(t *testing.T) {
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	targets := platformtest.StartTargets([]string{"one", "s0", "s1"}, 2, []string{"z"}, time.Millisecond)
	seen := make(chan platformtest.Observation, 1000)
	for _, x := range targets {
		t.Cleanup(x.Close)
		x.Observe = func(o platformtest.Observation) { seen <- o }
		x.Register(store, x.Address())
	}
	store.Put("op/config", platformtest.Configuration(1, "shop.example", "key", []string{"s0", "s1"}, "one"))
	_, operators := startInstance(t, strings.TrimPrefix(server.URL, "http://"))
	ask := func(query string) (int, *Where, string) {
		response, err := http.Get("http://" + operators + "/where?" + query)
		if err != nil {
			return 0, nil, err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(response.Body)
		w := &Where{}
		if response.StatusCode == http.StatusOK {
			if err := json.Unmarshal(body, w); err != nil {
				t.Fatal(err)
			}
		}
		return response.StatusCode, w, string(body)
	}
	var w *Where
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, w, _ = ask("host=shop.example&path=/many/x&organisation=o"); w != nil && w.Runs && w.WithoutTarget == 0 {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("the instance does not serve: %+v", w)
		}
	}
	if w.Instance != "edge-1" || w.Zone != "z" || w.Route != "many" || w.ServiceCount != 2 || w.Organisation != "o" || w.Ranks != 1 || w.Admission != nil {
		t.Errorf("%+v", w)
	}
	first := 0
	for _, s := range w.Services {
		for _, x := range s.Targets {
			if x.First {
				first++
			}
			if x.Zone != "z" || x.ExpectedMs <= 0 || x.Limit <= 0 {
				t.Errorf("%+v", x)
			}
		}
	}
	if first != 2 {
		t.Errorf("%d targets would be chosen first, want one of each shard", first)
	}
	for query, want := range map[string]string{
		"host=shop.example&path=/many/x":                    "unauthenticated",
		"host=shop.example&path=/elsewhere/&organisation=o": "unknown_service",
		"host=other.example&path=/many/x&organisation=o":    "unknown_service",
	} {
		if status, w, text := ask(query); status != http.StatusOK || w.Runs || w.Refused != want {
			t.Errorf("%s: status %d, %s", query, status, text)
		}
	}
	for query, want := range map[string]string{
		"host=shop.example&path=/many/x&organisation=p": `no organisation is named "p"`,
		"host=shop.example":                             "a path that begins with a slash",
		"host=%zz":                                      "the query is not valid",
	} {
		if status, _, text := ask(query); status != http.StatusBadRequest || !strings.Contains(text, want) {
			t.Errorf("%s: status %d, %s", query, status, text)
		}
	}
	targets[2].Register(store, targets[2].Address())
	store.Put("servers/"+targets[2].ID, map[string]any{
		"Service": "s0", "Address": targets[2].Address(), "Zone": "z", "Version": "v1", "Capacity": 16, "State": "draining", "Sequence": 2, "born": 1,
	})
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		_, _, text := ask("host=shop.example&path=/many/x&organisation=o")
		if strings.Contains(text, `"reasons":["draining"]`) {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("the draining target is not shown: %s", text)
		}
	}
	select {
	case o := <-seen:
		t.Errorf("a target got a request: %+v", o)
	default:
	}
}
