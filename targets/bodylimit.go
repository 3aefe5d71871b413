package targets

// BodyShare returns how many bytes of request bodies this instance may have in flight to one target that may get limit
// bytes from all members together. 0 means no limit, for both.
func BodyShare(limit int64, members int) int64 {
	if limit <= 0 {
		return 0
	}
	return max(limit/int64(max(members, 1)), 1)
}

// HasBodyRoom reports whether a body of n bytes may be sent to the target while at most share bytes of bodies are in flight
// to it. One body at a time may be larger than the share: it could never be sent otherwise.
func (s *TargetStats) HasBodyRoom(n int, share int64) bool {
	return hasBodyRoom(s.bodyBytes.Load(), int64(n), share)
}

func hasBodyRoom(inFlight, n, share int64) bool {
	return n == 0 || share == 0 || inFlight == 0 || inFlight+n <= share
}

// TryHoldBody counts a body of n bytes as in flight to the target if there is room for it, and reports whether there was.
func (s *TargetStats) TryHoldBody(n int, share int64) bool {
	for {
		inFlight := s.bodyBytes.Load()
		if !hasBodyRoom(inFlight, int64(n), share) {
			return false
		}
		if s.bodyBytes.CompareAndSwap(inFlight, inFlight+int64(n)) {
			return true
		}
	}
}

// ReleaseBody ends the count of a body that TryHoldBody counted.
func (s *TargetStats) ReleaseBody(n int) { s.bodyBytes.Add(-int64(n)) }
