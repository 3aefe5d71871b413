package traffic

import "sync"

// attemptEnd is the reply to an attempt, by the number of the attempt.
type attemptEnd struct {
	attempt int
	reply   TargetReply
}

// attemptEnds passes the ends of attempts to the goroutine of the request.
type attemptEnds struct {
	// arrived receives a value when ends arrive. It has room for one.
	arrived chan struct{}
	mu      sync.Mutex
	ends    []*attemptEnd
	closed  bool
}

// put adds the end of an attempt. After close, it releases the reply instead.
func (e *attemptEnds) put(end *attemptEnd) {
	e.mu.Lock()
	closed := e.closed
	if !closed {
		e.ends = append(e.ends, end)
	}
	e.mu.Unlock()
	if closed {
		end.reply.Held.Release()
		return
	}
	select {
	case e.arrived <- struct{}{}:
	default:
	}
}

// take returns the ends that arrived since the last call.
func (e *attemptEnds) take() []*attemptEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	ends := e.ends
	e.ends = nil
	return ends
}

// close releases the replies that were not taken and all that arrive later.
func (e *attemptEnds) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	for _, end := range e.take() {
		end.reply.Held.Release()
	}
}
