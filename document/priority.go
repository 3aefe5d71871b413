package document

import "slices"

// Urgency ranks a request among the priorities that compete for the same resource. The zero value means that nothing is
// ranked.
type Urgency struct {
	// Rank is the number of more urgent priorities; 0 is the most urgent one.
	Rank int
	// Levels is the number of different priorities. With fewer than two, requests are not ranked.
	Levels int
}

// Ranked reports whether there is more than one priority.
func (u Urgency) Ranked() bool { return u.Levels > 1 }

// PriorityFor returns the priority of requests on a route for an organisation; a is nil for a request without one.
func (r *Route) PriorityFor(a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// Urgency ranks the requests on a route for an organisation among all requests.
func (r *Routing) Urgency(route *Route, a *Account) Urgency {
	return rank(r.priorities, route.PriorityFor(a))
}

// UrgencyAt ranks the requests on a route for an organisation among those that may be sent to a service.
func (r *Routing) UrgencyAt(service string, route *Route, a *Account) Urgency {
	return rank(r.servicePriorities[service], route.PriorityFor(a))
}

func rank(priorities []int, priority int) Urgency {
	n, _ := slices.BinarySearch(priorities, priority)
	return Urgency{Rank: n, Levels: len(priorities)}
}

// indexPriorities collects the priorities in use, in all and at each service. An organisation with a priority of its own may
// use every route.
func (r *Routing) indexPriorities() {
	var own []int
	for i := range r.Accounts {
		if p := r.Accounts[i].Priority; p != nil {
			own = append(own, *p)
		}
	}
	r.priorities, r.servicePriorities = own, map[string][]int{}
	add := func(service string, priority int) {
		if r.servicePriorities[service] == nil {
			r.servicePriorities[service] = slices.Clone(own)
		}
		r.servicePriorities[service] = append(r.servicePriorities[service], priority)
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		r.priorities = append(r.priorities, route.Priority)
		for _, s := range route.Shards {
			add(s, route.Priority)
		}
		for _, s := range route.Services {
			add(s.Service, route.Priority)
		}
	}
	r.priorities = distinct(r.priorities)
	for name, p := range r.servicePriorities {
		r.servicePriorities[name] = distinct(p)
	}
}

// distinct returns the different numbers in ascending order.
func distinct(numbers []int) []int {
	sorted := slices.Clone(numbers)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
