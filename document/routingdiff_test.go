package document

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawRouting draws a routing whose lists share elements, in any order and also repeated, with others of the same version range.
func drawRouting(t *rapid.T, version Revision) *Routing {
	r := &Routing{Version: version, Limits: CallerLimits{MaxBodyBytes: rapid.IntRange(0, 2).Draw(t, "limit")}}
	element := rapid.IntRange(0, 7)
	for _, n := range rapid.SliceOfN(element, 0, 12).Draw(t, "routes") {
		r.Routes = append(r.Routes, Route{
			Name: fmt.Sprint("r", n), Host: "h", Prefix: fmt.Sprintf("/%d/", n), Services: []WeightedService{{"s", 1}}, Timeout: time.Duration(element.Draw(t, "timeout") / 6),
		})
	}
	for _, n := range rapid.SliceOfN(element, 0, 5).Draw(t, "services") {
		r.Services = append(r.Services, RoutedService{Name: fmt.Sprint("s", n), MaxConnections: rapid.IntRange(1, 2).Draw(t, "connections")})
	}
	for _, n := range rapid.SliceOfN(element, 0, 5).Draw(t, "accounts") {
		a := Account{Organisation: Organisation{Name: fmt.Sprint("o", n)}}
		for k := range rapid.IntRange(0, 2).Draw(t, "keys") {
			a.Keys = append(a.Keys, Key{ID: fmt.Sprint(k), SHA256: fmt.Sprint(n, k)})
		}
		r.Accounts = append(r.Accounts, a)
	}
	return r
}

func sameRouting(a, b *Routing) bool {
	return a.Version == b.Version && a.Limits == b.Limits && len(a.Routes) == len(b.Routes) && len(a.Services) == len(b.Services) && len(a.Accounts) == len(b.Accounts) &&
		(len(a.Routes) == 0 || reflect.DeepEqual(a.Routes, b.Routes)) && (len(a.Services) == 0 || reflect.DeepEqual(a.Services, b.Services)) &&
		(len(a.Accounts) == 0 || reflect.DeepEqual(a.Accounts, b.Accounts))
}

// Guards against a difference, or a chain of differences, that does not reproduce the new routing exactly.
func TestRoutingDifferenceIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history RoutingHistory
		versions := []*Routing{}
		for v := Revision(3); v < 8; v++ {
			next := drawRouting(t, v)
			history = history.Adopt(next, nil)
			versions = append(versions, next)
		}
		for _, from := range append([]*Routing{nil, {Version: 1}}, versions[:len(versions)-1]...) {
			version := Revision(0)
			if from != nil {
				version = from.Version
			}
			chain := history.Since(version)
			if version == 1 {
				from = nil // the history does not reach back to it
			}
			got, err := ApplyRouting(from, chain)
			if err != nil {
				t.Fatal(err)
			}
			if !sameRouting(got, history.Routing) {
				t.Fatalf("from version %d: got %+v, want %+v", version, got, history.Routing)
			}
		}
	})
}

// Guards against a difference whose size follows that of the routing: one route of many is changed, removed or added.
func TestRoutingDifferenceFollowsTheChange(t *testing.T) {
	many := func() *Routing {
		r := &Routing{Version: 3}
		for i := range 1400 {
			r.Routes = append(r.Routes, Route{Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Services: []WeightedService{{"s", 1}}})
		}
		return r
	}
	for name, change := range map[string]func(*Routing){
		"changed": func(r *Routing) { r.Routes[700].Timeout = time.Second },
		"removed": func(r *Routing) { r.Routes = append(r.Routes[:700], r.Routes[701:]...) },
		"added": func(r *Routing) {
			r.Routes = append(r.Routes[:700], append([]Route{{Name: "x", Host: "h", Prefix: "/x/"}}, r.Routes[700:]...)...)
		},
		"moved": func(r *Routing) { r.Routes[0], r.Routes[700] = r.Routes[700], r.Routes[0] },
	} {
		old, next := many(), many()
		next.Version = 4
		change(next)
		d := DiffRouting(old, next)
		if len(d.Routes) > 4 || d.Elements() > 1 {
			t.Errorf("%s: %d pieces with %d elements", name, len(d.Routes), d.Elements())
		}
		if got, err := d.Apply(old); err != nil || !sameRouting(got, next) {
			t.Errorf("%s: not reproduced, error %v", name, err)
		}
	}
}

// Guards against applying a difference to a routing that it was not computed from, and against odd pieces that end the process or
// take memory without end.
func TestOddRoutingDifferenceIsRefused(t *testing.T) {
	old := &Routing{Version: 3, Routes: make([]Route, 100)}
	repeated := make([]Piece[Route], 1000)
	for i := range repeated {
		repeated[i].Count = 100
	}
	for name, d := range map[string]RoutingDifference{
		"another version":    {From: 2, To: 4},
		"index out of range": {From: 3, To: 4, Routes: []Piece[Route]{{From: 99, Count: 2}}},
		"negative index":     {From: 3, To: 4, Routes: []Piece[Route]{{From: -1, Count: 1}}},
		"negative count":     {From: 3, To: 4, Routes: []Piece[Route]{{Count: -1}}},
		"too many elements":  {From: 3, To: 4, Routes: repeated},
		"services":           {From: 3, To: 4, Services: []Piece[RoutedService]{{Count: 1}}},
		"whole with indexes": {From: 0, To: 4, Routes: []Piece[Route]{{Count: 1}}},
	} {
		if _, err := d.Apply(old); !errors.Is(err, ErrMismatch) {
			t.Errorf("%s: error %v, want ErrMismatch", name, err)
		}
	}
	if _, err := ApplyRouting(old, nil); !errors.Is(err, ErrMismatch) {
		t.Error("an empty chain was applied")
	}
	invalid := RoutingDifference{From: 3, To: 4, Routes: []Piece[Route]{{Added: []Route{{Prefix: "x"}}}}}
	if _, err := ApplyRouting(old, []RoutingDifference{invalid}); !errors.Is(err, ErrInvalidRouting) {
		t.Errorf("error %v, want ErrInvalidRouting", err)
	}
}

// Guards against a history that grows with each change.
func TestRoutingHistoryIsBounded(t *testing.T) {
	var h RoutingHistory
	for v := range Revision(200) {
		r := &Routing{Version: v + 1}
		for i := range 100 {
			r.Routes = append(r.Routes, Route{Name: fmt.Sprint(v, i), Host: "h", Prefix: fmt.Sprintf("/%d/%d/", v, i), Services: []WeightedService{{"s", 1}}})
		}
		h = h.Adopt(r, nil)
	}
	elements := 0
	for _, d := range h.differences {
		elements += d.Elements()
	}
	if len(h.differences) == 0 || len(h.differences) > maxRoutingHistory || elements > maxRoutingHistoryElements {
		t.Errorf("%d differences with %d elements", len(h.differences), elements)
	}
	for i := range Revision(200) {
		next := *h.Routing
		next.Version = 201 + i
		h = h.Adopt(&next, nil)
	}
	if len(h.differences) != maxRoutingHistory {
		t.Errorf("%d differences, want %d", len(h.differences), maxRoutingHistory)
	}
}

// Guards against a field that two elements may differ in without being told apart: siblings would keep the old one.
func TestElementsThatDifferAreNotEqual(t *testing.T) {
	checkEachField(t, (*Route).equal)
	checkEachField(t, (*RoutedService).equal)
	checkEachField(t, (*Account).equal)
}

// checkEachField checks that elements that differ in one field are not equal.
func checkEachField[T any](t *testing.T, equal func(a, b *T) bool) {
	for _, field := range reflect.VisibleFields(reflect.TypeFor[T]()) {
		if field.Anonymous {
			continue
		}
		var a, b T
		f := reflect.ValueOf(&b).Elem().FieldByIndex(field.Index)
		switch {
		case f.Kind() == reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		case f.Kind() == reflect.Pointer:
			f.Set(reflect.New(f.Type().Elem()))
		case f.Kind() == reflect.String:
			f.SetString("x")
		case f.Kind() == reflect.Bool:
			f.SetBool(true)
		case f.CanInt():
			f.SetInt(1)
		case f.CanFloat():
			f.SetFloat(1)
		}
		if !equal(&a, &a) || !equal(&b, &b) || equal(&a, &b) || equal(&b, &a) {
			t.Errorf("%T: a difference in %s is not noticed", a, field.Name)
		}
	}
}
