package routing

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dogwooddrift.org/drift/document"
)

const (
	// maxTargetLines is the number of changes of targets that are logged with a line of their own in targetLinesWindow. It covers
	// the restart of a few targets; a zone, a fleet that starts or a lost store changes tens to hundreds at a time.
	maxTargetLines    = 8
	targetLinesWindow = time.Second
	// summaryDelay is how long further changes are collected for one line. With the longest time between two steps and a busy
	// processor, no line is later than a second.
	summaryDelay = 500 * time.Millisecond
	// maxSummaryIDs and maxSummaryServices bound the targets and the services that a group of a summary names; the others are
	// counted. Deployments have up to 135 shards, each of which is a service.
	maxSummaryIDs      = 5
	maxSummaryServices = 150
	// maxSummaryGroups bounds the groups of a summary. Changes of further kinds are counted together.
	maxSummaryGroups = 12
)

// targetChange is a change of the state that this instance assumes for a target.
type targetChange struct {
	id, service, old, new string
	// detail completes the new state where it differs between targets, such as the time of a rest.
	detail   string
	source   string
	revision document.Revision // of the value in the store, 0 if the change is not one of a value
}

// targetLog turns changes of targets into log effects: a line for each change while there are few, and one line with counts
// for changes that come in numbers. Each change is in exactly one line.
type targetLog struct {
	// known holds the state of the registration of each target, as last logged.
	known map[string]string
	// fresh holds the changes of the current step, held those that wait for a summary since heldSince.
	fresh, held []targetChange
	heldSince   time.Time
	// lines is the number of changes logged one by one since linesSince.
	lines      int
	linesSince time.Time
	// direct is set when nothing may be held any more because the instance stops.
	direct bool
}

func newTargetLog() *targetLog { return &targetLog{known: map[string]string{}} }

// add takes in a change of the current step.
func (l *targetLog) add(c targetChange) { l.fresh = append(l.fresh, c) }

// addRegistration takes in a new state of a target's registration; the old one is the state that was logged before.
func (l *targetLog) addRegistration(c targetChange) {
	c.old = cmp.Or(l.known[c.id], "unknown")
	l.known[c.id] = c.new
	if c.new == stateRemoved {
		delete(l.known, c.id)
	}
	l.add(c)
}

// take returns the effects that are due at the end of a step.
func (l *targetLog) take(now time.Time) []Effect {
	if now.Sub(l.linesSince) >= targetLinesWindow {
		l.lines, l.linesSince = 0, now
	}
	if len(l.fresh) > 0 && len(l.held) == 0 {
		if l.lines+len(l.fresh) <= maxTargetLines {
			return l.each(&l.fresh)
		}
		l.heldSince = now
	}
	l.held, l.fresh = append(l.held, l.fresh...), nil
	if len(l.held) == 0 || !l.direct && now.Sub(l.heldSince) < summaryDelay {
		return nil
	}
	if l.lines+len(l.held) <= maxTargetLines {
		return l.each(&l.held)
	}
	summary := summarize(l.held)
	summary.Held = now.Sub(l.heldSince)
	l.held = nil
	return []Effect{summary}
}

// each returns a line for each of the changes and forgets them.
func (l *targetLog) each(changes *[]targetChange) []Effect {
	out := make([]Effect, 0, len(*changes))
	for _, c := range *changes {
		out = append(out, c.line())
	}
	l.lines += len(out)
	*changes = nil
	return out
}

// line returns the log line of one change.
func (c *targetChange) line() LogStateChange {
	e := LogStateChange{Subject: string(KindTarget), Name: c.id, Service: c.service, Old: c.old, New: c.new, Source: c.source}
	if c.detail != "" {
		e.New += " " + c.detail
	}
	if c.revision > 0 {
		e.Source += " revision " + strconv.FormatUint(uint64(c.revision), 10)
	}
	return e
}

// summarize counts changes by their old and new states and sources, and by service. The largest groups come first.
func summarize(changes []targetChange) LogTargetChanges {
	type groupKey struct{ old, new, source string }
	groups, services := map[groupKey]*TargetChangeGroup{}, map[groupKey]map[string]int{}
	for _, c := range changes {
		k := groupKey{c.old, c.new, c.source}
		g := groups[k]
		if g == nil {
			g = &TargetChangeGroup{Old: c.old, New: c.new, Source: c.source, FirstRevision: c.revision, LastRevision: c.revision}
			groups[k], services[k] = g, map[string]int{}
		}
		g.Count++
		g.FirstRevision, g.LastRevision = min(g.FirstRevision, c.revision), max(g.LastRevision, c.revision)
		if len(g.IDs) < maxSummaryIDs && !slices.Contains(g.IDs, c.id) {
			g.IDs = append(g.IDs, c.id)
		}
		services[k][c.service]++
	}
	out := LogTargetChanges{Count: len(changes)}
	for k, g := range groups {
		for name, n := range services[k] {
			g.Services = append(g.Services, ServiceCount{name, n})
		}
		slices.SortFunc(g.Services, func(a, b ServiceCount) int {
			return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service))
		})
		if len(g.Services) > maxSummaryServices {
			g.OtherServices = len(g.Services) - maxSummaryServices
			g.Services = g.Services[:maxSummaryServices:maxSummaryServices]
		}
		out.Groups = append(out.Groups, *g)
	}
	slices.SortFunc(out.Groups, func(a, b TargetChangeGroup) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Old, b.Old), cmp.Compare(a.New, b.New), cmp.Compare(a.Source, b.Source))
	})
	if len(out.Groups) > maxSummaryGroups {
		for _, g := range out.Groups[maxSummaryGroups:] {
			out.Others += g.Count
		}
		out.Groups = out.Groups[:maxSummaryGroups:maxSummaryGroups]
	}
	return out
}

// The states of a target's registration in the log.
const (
	statePresent   = "present"
	stateDraining  = "draining"
	stateLapsed    = "lapsed"
	stateRemoved   = "removed"
	stateInvalid   = "invalid"
	stateOutdated  = "older than known"
	stateRetained  = "retained, the platform shows another"
	stateUsed      = "used"
	sourceExpired  = "no new registration in time"
	detailRestart  = "with a new incarnation"
	detailAddress  = "at a new address"
	detailRepeated = "again"
)
