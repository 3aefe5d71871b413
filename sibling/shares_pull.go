package sibling

import (
	"slices"
	"time"
)

const (
	confirmInterval = time.Second
	// crossZonePullRounds is the number of rounds that pull from other zones too after this zone's holders did not
	// suffice.
	crossZonePullRounds = 30
	// spareTokens is the maximum number of tokens that an instance stocks beyond the expected demand.
	spareTokens = 2
	// sparePerBurst is the part of the burst that an instance may stock beyond the expected demand. With two tokens
	// at each of 8 instances, a burst of 15 lay unused at instances without requests.
	sparePerBurst = 1. / 32
)

// Tick advances the accounting sets and returns the messages that are due.
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
	out := s.dueClaims(now)
	if confirm && !now.Before(s.nextConfirm) {
		s.nextConfirm = now.Add(confirmInterval)
		out = append(out, ConfirmInstances{})
	}
	return append(out, s.pull()...)
}

// RequestUrgentPull records that a request waits for a token, and reports whether the next Tick starts a round of
// pulls for it immediately. After a round without any grant it does not, since the siblings have no token either.
func (s *Shares) RequestUrgentPull(a *Account, now time.Time) bool {
	if s.static || now.Before(a.nextUrgentPull) {
		return false
	}
	a.nextUrgentPull = now.Add(roundInterval)
	if a.grantedInRound > 0 {
		a.nextUrgentPull = now.Add(urgentInterval)
	}
	a.requestWaiting, s.nextRound = true, now
	return true
}

// pull requests from other holders what the expected demand needs beyond the stock. It pulls from this zone's holders
// first. It includes those of the other zones for crossZonePullRounds after a round that yielded less than half of
// the requested amount, and while the demand here exceeds the zone's part of the rate, since the other zones' stocks
// would then be full and accrue nothing. All organisations share one message to a sibling. An organisation without
// demand causes no message.
func (s *Shares) pull() []ShareEffect {
	wants := map[string]*SendPull{}
	var order []string
	for _, name := range s.activeOrganisations {
		a := s.accounts[name]
		if a == nil || a.demand == 0 {
			continue
		}
		if a.crossZoneRounds > 0 {
			a.crossZoneRounds--
		} else if a.grantedInRound < a.requestedInRound/2 || a.demand > a.rate*s.fraction.inForce {
			a.crossZoneRounds = crossZonePullRounds
		}
		urgent := a.requestWaiting
		if urgent {
			a.requestWaiting, a.crossZoneRounds = false, max(a.crossZoneRounds, 1)
		}
		noneGranted := a.requestedInRound > 0 && a.grantedInRound == 0
		a.grantedInRound, a.requestedInRound = 0, 0
		lifetime := a.tokenLifetime()
		stock := min(a.demand*lifetime.Seconds()*stockPerLifetime, a.burst*stockPerBurst)
		want := Tokens(stock+min(spareTokens, a.burst*sparePerBurst)) - a.deposited - a.pulledUnspent - a.level - a.fractional
		switch {
		case urgent:
			want = max(want, oneToken)
		case want < oneToken:
			want = 0 // a request that arrives meanwhile pulls its token itself
		}
		settlements := a.settlements
		a.settlements = nil
		var from Members
		var part Amount
		if want > 0 {
			if from = s.givers(a); len(from) == 0 {
				a.crossZoneRounds = crossZonePullRounds
			} else {
				a.requestedInRound = want
				// Requesting whole tokens from fewer siblings is better than requesting fractions from all of them.
				n := int(want/oneToken) + 1
				if noneGranted && a.deposited+a.pulledUnspent+a.level < oneToken {
					// The remaining tokens are spread in fractions over many holders. Fractions cannot be returned
					// early, so they are requested only after whole tokens were not available.
					part = oneToken - 1
				} else if n < len(from) {
					from, part = from[:n], oneToken
				}
				part = max(part, want/Amount(len(from))+want/Amount(2*len(from)))
			}
		}
		addWant := func(m Member, amount Amount) {
			send := wants[m.ID]
			if send == nil {
				send = &SendPull{To: m}
				wants[m.ID] = send
				order = append(order, m.ID)
			}
			send.Request.Wants = append(send.Request.Wants, TokenTransfer{
				Organisation: a.organisation, Amount: amount, Lifetime: lifetime, Settlements: settlements[m.ID],
			})
		}
		for _, m := range from {
			addWant(m, part)
		}
		for _, holders := range s.holders[a.set.group] {
			for _, m := range holders {
				if settlements[m.ID] != nil && !slices.ContainsFunc(from, func(f Member) bool { return f.ID == m.ID }) {
					addWant(m, 0)
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

// givers returns the siblings that one account may pull from in this round, likely owners first.
func (s *Shares) givers(a *Account) Members {
	var owners, next Members
	for i, holders := range s.holders[a.set.group] {
		if i > 0 && a.crossZoneRounds == 0 {
			break
		}
		for rank, m := range holders {
			switch {
			case m.ID == s.self:
			case rank < a.owners.newest():
				owners = append(owners, m)
			case rank == a.owners.newest():
				// The next in rank owns the share while an owner is absent.
				next = append(next, m)
			}
		}
	}
	s.rng.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	out := append(owners, next...)
	return out[:min(maxPulls, len(out))]
}

// ReceiveGrant applies a grant in reply to a pull that was sent at the given time. It returns the whole tokens to
// deposit and when they expire. Fractions from several givers add up to whole tokens, which expire with their oldest
// part.
func (s *Shares) ReceiveGrant(grant TokenTransfer, sent, now time.Time) (tokens int64, expires time.Time) {
	a := s.accounts[grant.Organisation]
	expires = sent.Add(grant.Lifetime)
	if a == nil || grant.Amount <= 0 || grant.Lifetime > maxTokenLifetime || !now.Before(expires) {
		return 0, expires
	}
	a.grantedInRound += grant.Amount
	whole := grant.Amount.Whole()
	a.addFractional(grant.Amount-Amount(whole)*oneToken, expires, now)
	a.pulledUnspent += Amount(whole) * oneToken
	return whole, expires
}

// addFractional adds a pulled fraction of a token.
func (a *Account) addFractional(amount Amount, expires, now time.Time) {
	if a.fractional == 0 || !now.Before(a.fractionalUntil) {
		a.fractional, a.fractionalUntil = 0, expires
	}
	a.fractional += amount
	if expires.Before(a.fractionalUntil) {
		a.fractionalUntil = expires
	}
}

// CombineFractions makes a whole token from pulled fractions and, if they do not suffice, from this instance's own
// level, which is lent for the same time as if a sibling had pulled it.
func (s *Shares) CombineFractions(a *Account, now time.Time) (tokens int64, expires time.Time) {
	if !now.Before(a.fractionalUntil) {
		a.fractional = 0
	}
	if a.fractional == 0 {
		return 0, time.Time{}
	}
	if missing := oneToken - a.fractional; missing > 0 {
		if a.level < missing || !a.available(now) {
			return 0, time.Time{}
		}
		a.lend(0, missing, a.fractionalUntil.Sub(now), now)
		a.fractional += missing
	}
	tokens = a.fractional.Whole()
	a.fractional -= Amount(tokens) * oneToken
	a.pulledUnspent += Amount(tokens) * oneToken
	return tokens, a.fractionalUntil
}

// updateActive adds or removes the account's organisation in the list of those with demand.
func (s *Shares) updateActive(a *Account) {
	i, found := slices.BinarySearch(s.activeOrganisations, a.organisation)
	switch {
	case a.demand > 0 && !found:
		s.activeOrganisations = slices.Insert(s.activeOrganisations, i, a.organisation)
	case a.demand == 0 && found:
		s.activeOrganisations = slices.Delete(s.activeOrganisations, i, i+1)
	}
}
