package sibling

import (
	"slices"
	"time"
)

const (
	confirmInterval = time.Second
	wideRounds      = 30
	// spareTokens is the most that an instance stocks beyond the expected demand.
	spareTokens = 2
	// sparePerBurst is the part of the burst that an instance may stock beyond the expected demand. With two tokens
	// at each of 8 instances, a burst of 15 lay unused at instances without requests.
	sparePerBurst = 1. / 32
)

// Tick moves the sets on and returns the messages that are due.
func (s *Shares) Tick(now time.Time) []ShareEffect {
	s.fraction.settle(now)
	if s.static {
		for _, set := range s.sets {
			set.leaseUntil = now.Add(ShareLease)
		}
		return nil
	}
	if now.Before(s.nextRound) {
		return nil
	}
	s.nextRound = now.Add(roundInterval)
	confirm := false
	for _, set := range s.sets {
		s.step(set, now)
		confirm = confirm || set.phase == PhaseJoining ||
			set.phase == PhaseActive && !set.stopping && set.leaseUntil.Sub(now) < ShareLease/2
	}
	out := s.count(now)
	if confirm && !now.Before(s.nextConfirm) {
		s.nextConfirm = now.Add(confirmInterval)
		out = append(out, ConfirmInstances{})
	}
	return append(out, s.pull()...)
}

// RequestUrgentPull notes that a request waits for a token, and reports whether the next Tick makes a round of pulls for it at
// once. After a round that brought nothing it does not: the siblings have no token either.
func (s *Shares) RequestUrgentPull(a *Account, now time.Time) bool {
	if s.static || now.Before(a.nextUrgent) {
		return false
	}
	a.nextUrgent = now.Add(roundInterval)
	if a.granted > 0 {
		a.nextUrgent = now.Add(urgentInterval)
	}
	a.urgent, s.nextRound = true, now
	return true
}

// pull asks other holders for what the expected demand needs beyond the stock: those of this zone first, and
// those of the other zones too for wideRounds after a round that brought less than half of what was asked for, and
// while the demand here exceeds the zone's part of the rate: the others' stocks would be full and accrue nothing. All
// organisations share one message to a sibling. An organisation without demand causes none.
func (s *Shares) pull() []ShareEffect {
	wants := map[string]*SendPull{}
	var order []string
	for _, name := range s.active {
		a := s.accounts[name]
		if a == nil || a.demand == 0 {
			continue
		}
		if a.wide > 0 {
			a.wide--
		} else if a.granted < a.asked/2 || a.demand > a.rate*s.fraction.inForce {
			a.wide = wideRounds
		}
		urgent := a.urgent
		if urgent {
			a.urgent, a.wide = false, max(a.wide, 1)
		}
		failed := a.asked > 0 && a.granted == 0
		a.granted, a.asked = 0, 0
		life := a.tokenLife()
		stock := min(a.demand*life.Seconds()*stockPerLife, a.burst*stockPerBurst)
		want := Tokens(stock+min(spareTokens, a.burst*sparePerBurst)) - a.deposited - a.pulled - a.level - a.crumbs
		switch {
		case urgent:
			want = max(want, nano)
		case want < nano:
			want = 0 // a request that comes meanwhile asks for its token itself
		}
		settled := a.settled
		a.settled = nil
		var from Members
		var part Amount
		if want > 0 {
			if from = s.givers(a); len(from) == 0 {
				a.wide = wideRounds
			} else {
				a.asked = want
				// Fewer siblings are asked for whole tokens rather than all of them for fractions.
				n := int(want/nano) + 1
				if failed && a.deposited+a.pulled+a.level < nano {
					// What is left lies in fractions at many holders. Fractions cannot be returned early, so they are
					// asked for only after whole tokens were not to be had.
					part = nano - 1
				} else if n < len(from) {
					from, part = from[:n], nano
				}
				part = max(part, want/Amount(len(from))+want/Amount(2*len(from)))
			}
		}
		ask := func(m Member, amount Amount) {
			send := wants[m.ID]
			if send == nil {
				send = &SendPull{To: m}
				wants[m.ID] = send
				order = append(order, m.ID)
			}
			send.Request.Wants = append(send.Request.Wants, TokenTransfer{
				Organisation: a.organisation, Amount: amount, Lifetime: life, Settlements: settled[m.ID],
			})
		}
		for _, m := range from {
			ask(m, part)
		}
		for _, holders := range s.holders[a.set.group] {
			for _, m := range holders {
				if settled[m.ID] != nil && !slices.ContainsFunc(from, func(f Member) bool { return f.ID == m.ID }) {
					ask(m, 0)
				}
			}
		}
	}
	out := make([]ShareEffect, 0, len(order))
	for _, id := range order {
		out = append(out, *wants[id])
	}
	return out
}

// givers returns the siblings that one account may ask in this round, likely owners first.
func (s *Shares) givers(a *Account) Members {
	var owners, next Members
	for i, holders := range s.holders[a.set.group] {
		if i > 0 && a.wide == 0 {
			break
		}
		for rank, m := range holders {
			switch {
			case m.ID == s.self:
			case rank < a.owners.newest():
				owners = append(owners, m)
			case rank == a.owners.newest():
				// The next in rank owns the share while an owner is away.
				next = append(next, m)
			}
		}
	}
	s.rng.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	out := append(owners, next...)
	return out[:min(maxPulls, len(out))]
}

// ReceiveGrant takes a grant of a pull that was sent at the given time, and returns whole tokens to deposit and when
// they expire. Fractions of several givers add up to whole tokens, which expire with their oldest part.
func (s *Shares) ReceiveGrant(grant TokenTransfer, sent, now time.Time) (tokens int64, expires time.Time) {
	a := s.accounts[grant.Organisation]
	expires = sent.Add(grant.Lifetime)
	if a == nil || grant.Amount <= 0 || grant.Lifetime > maxTokenLife || !now.Before(expires) {
		return 0, expires
	}
	a.granted += grant.Amount
	whole := grant.Amount.Whole()
	a.addCrumbs(grant.Amount-Amount(whole)*nano, expires, now)
	a.pulled += Amount(whole) * nano
	return whole, expires
}

func (a *Account) addCrumbs(amount Amount, expires, now time.Time) {
	if a.crumbs == 0 || !now.Before(a.crumbsUntil) {
		a.crumbs, a.crumbsUntil = 0, expires
	}
	a.crumbs += amount
	if expires.Before(a.crumbsUntil) {
		a.crumbsUntil = expires
	}
}

// CombineFractions makes a whole token of fractions that were pulled and, if they do not suffice, of this instance's own
// level, which is lent for the same time as if a sibling had asked for it.
func (s *Shares) CombineFractions(a *Account, now time.Time) (tokens int64, expires time.Time) {
	if !now.Before(a.crumbsUntil) {
		a.crumbs = 0
	}
	if a.crumbs == 0 {
		return 0, time.Time{}
	}
	if lack := nano - a.crumbs; lack > 0 {
		if a.level < lack || !a.available(now) {
			return 0, time.Time{}
		}
		a.lend(0, lack, a.crumbsUntil.Sub(now), now)
		a.crumbs += lack
	}
	tokens = a.crumbs.Whole()
	a.crumbs -= Amount(tokens) * nano
	a.pulled += Amount(tokens) * nano
	return tokens, a.crumbsUntil
}

// noteDemand keeps the list of accounts that had demand lately.
func (s *Shares) noteDemand(a *Account) {
	i, found := slices.BinarySearch(s.active, a.organisation)
	switch {
	case a.demand > 0 && !found:
		s.active = slices.Insert(s.active, i, a.organisation)
	case a.demand == 0 && found:
		s.active = slices.Delete(s.active, i, i+1)
	}
}
