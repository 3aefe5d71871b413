package caller

import (
	"sync"
	"testing"
	"time"
)

// Guards against tokens that are created or lost by concurrent calls of Take, Withdraw and Deposit.
func TestPoolNeitherCreatesNorLosesTokens(t *testing.T) {
	const deposits, each, takers = 2000, 3, 4
	var p TokenPool
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	expiry := NewExpiry(now.Add(time.Hour))
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range takers {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					p.Take(clock)
				}
			}
		})
	}
	var withdrawn int64
	for range deposits {
		p.Deposit(each, expiry)
		withdrawn += p.Withdraw()
	}
	close(stop)
	running.Wait()
	withdrawn += p.Withdraw()
	if got := p.Spent() + withdrawn; got != deposits*each {
		t.Fatalf("%d spent and %d withdrawn of %d deposited", p.Spent(), withdrawn, deposits*each)
	}
}

// Guards against an expired token being spent by a process that pauses between the check of the expiry and the spend.
// The clock advances at its second reading, which must follow the taking of the token.
func TestPausedTakerDoesNotSpendExpiredToken(t *testing.T) {
	start := time.Unix(100, 0)
	var p TokenPool
	expiry := NewExpiry(start.Add(time.Second))
	p.Deposit(1, expiry)
	readings := 0
	paused := func() time.Time {
		readings++
		if readings == 1 {
			return start
		}
		// During the pause, control resumed and deposited tokens of a new lease.
		p.Withdraw()
		expiry.Set(time.Time{})
		p.Deposit(1, NewExpiry(start.Add(time.Hour)))
		return start.Add(time.Minute)
	}
	if p.Take(paused) {
		t.Fatal("a token was spent after it had expired")
	}
	if readings < 2 {
		t.Fatal("the clock was not read again after the token was taken")
	}
}

// Guards against a token that counts as spent before its request is admitted: control would accrue another one in its
// place.
func TestTokenBeingTakenCountsAsUnspent(t *testing.T) {
	var p TokenPool
	now := time.Unix(100, 0)
	batch := p.DepositPulled(1, now.Add(time.Second), now)
	p.Deposit(1, NewExpiry(now.Add(time.Second)))
	readings := 0
	p.Take(func() time.Time {
		if readings++; readings == 2 && batch.Unspent() != 1 {
			t.Errorf("%d unspent while a token is being taken, want 1", batch.Unspent())
		}
		return now
	})
	if batch.Unspent() != 0 || p.Unspent() != 1 {
		t.Fatalf("%d pulled and %d own unspent after one spend, want 0 and 1", batch.Unspent(), p.Unspent())
	}
}

// Guards against requests that use up one stock of tokens while the other is full: a full stock accrues no tokens.
func TestPoolSpendsFromTheLargerStock(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	for _, c := range []struct{ own, pulled, spend, wantOwn, wantPulled int64 }{
		{own: 5, pulled: 2, spend: 3, wantOwn: 2, wantPulled: 2},
		{own: 2, pulled: 5, spend: 3, wantOwn: 2, wantPulled: 2},
		{own: 4, pulled: 0, spend: 4, wantOwn: 0, wantPulled: 0},
		{own: 0, pulled: 3, spend: 3, wantOwn: 0, wantPulled: 0},
		{own: 3, pulled: 3, spend: 6, wantOwn: 0, wantPulled: 0},
	} {
		p := &TokenPool{}
		p.Deposit(c.own, NewExpiry(now.Add(time.Second)))
		p.DepositPulled(c.pulled, now.Add(time.Second), now)
		for range c.spend {
			if !p.Take(clock) {
				t.Errorf("%+v: no token taken although some remain", c)
			}
		}
		if own, pulled := p.Unspent(), p.UnspentPulled(now); own != c.wantOwn || pulled != c.wantPulled {
			t.Errorf("%+v: %d own and %d pulled tokens remain", c, own, pulled)
		}
	}
}
