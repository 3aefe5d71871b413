package document

import (
	"errors"
	"math"
	"testing"
)

// indexed returns a routing with the given routes, ready for look-ups.
func indexed(t *testing.T, routes ...Route) *Routing {
	t.Helper()
	r := &Routing{Version: 1, Routes: routes}
	if err := r.Index(); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against matching a route that has a shorter prefix or belongs to another host.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	route := func(name, host, prefix string) Route {
		return Route{Name: name, Host: host, Prefix: prefix, Services: []WeightedService{{name, 1}}}
	}
	r := indexed(t, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/"))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"A.Example", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/1", "other"}, {"b.example", "/x/1", ""}, {"a.example", "/xy", ""}, {"c.example", "/x/1", ""},
	} {
		got := ""
		if matched := r.Match(c.host, c.path); matched != nil {
			got = matched.Name
		}
		if got != c.want {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a distribution of requests over services that does not follow the weights.
func TestPickFollowsTheWeights(t *testing.T) {
	route := Route{Services: []WeightedService{{"a", 1}, {"none", 0}, {"b", 3}}}
	const n = 1000
	count := map[string]int{}
	for i := range n {
		count[route.PickService(float64(i)/n)]++
	}
	if count["a"] != n/4 || count["b"] != 3*n/4 {
		t.Errorf("counts %v", count)
	}
	if s := route.PickService(math.Nextafter(1, 0)); s != "b" {
		t.Errorf("the highest point selects %q, want \"b\"", s)
	}
}

// Guards against accepting a routing with an invalid route.
func TestIndexRefusesRoutingsThatMakeNoSense(t *testing.T) {
	one := []WeightedService{{"a", 1}}
	for name, route := range map[string]Route{
		"neither":  {Prefix: "/"},
		"both":     {Prefix: "/", Services: one, Shards: []string{"s"}},
		"prefix":   {Prefix: "/x", Services: one},
		"weight":   {Prefix: "/", Services: []WeightedService{{"a", math.NaN()}}},
		"coverage": {Prefix: "/", Shards: []string{"s"}, MinCoverage: 1.5},
		"timeout":  {Prefix: "/", Services: one, Timeout: -1},
	} {
		r := &Routing{Routes: []Route{route}}
		if err := r.Index(); !errors.Is(err, ErrInvalidRouting) {
			t.Errorf("%s: %v, want ErrInvalidRouting", name, err)
		}
	}
}

// Guards against sending a request to a region that its route or its organisation does not allow.
func TestRegionsOfRouteAndOrganisationBothBind(t *testing.T) {
	route, account := Route{Regions: []string{"a", "b"}}, &Account{Regions: []string{"b", "c"}}
	for region, want := range map[string][2]bool{"a": {true, false}, "b": {true, true}, "c": {false, false}} {
		if got := [2]bool{route.AllowsRegion(nil, region), route.AllowsRegion(account, region)}; got != want {
			t.Errorf("region %s: %v, want %v", region, got, want)
		}
	}
	if !(&Route{}).AllowsRegion(nil, "x") {
		t.Error("a route without regions does not allow every region")
	}
}
