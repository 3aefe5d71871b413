package edge

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/platform/front"
	"dogwooddrift.org/drift/platform/nodefile"
	"dogwooddrift.org/drift/sibling/siblinggrpc"
)

const (
	// headMemoryFraction is the fraction of the memory limit for the heads that are being read, and again for those of running
	// requests. minHeadMemory lets in the most expensive head that net/http reads with maxCallerHeaderBytes, 68 KB in 23,000 lines
	// of three bytes.
	headMemoryFraction = 1.0 / 16
	minHeadMemory      = 7 << 20
	// maxHeadMemoryMB and maxMaxConnections are the upper bounds of the flags, above what a machine has.
	maxHeadMemoryMB   = 1 << 20
	maxMaxConnections = 1_000_000
	// connectionMemoryFraction is the fraction of the memory limit for callers' connections. connectionBytes is the memory of one
	// without a request: two buffers of 4 KB, the stack of its goroutine, and what the garbage collector adds.
	connectionMemoryFraction = 0.25
	connectionBytes          = 32 << 10
	// siblingMemoryFraction and siblingConnectionBytes are the same for the connections of siblings. One without a call takes
	// 39 to 47 KB of heap and stacks (measured with 300 of them), and the garbage collector adds to it.
	siblingMemoryFraction  = 0.125
	siblingConnectionBytes = 64 << 10
	// siblingReadBuffer is the size in bytes of the read buffer of such a connection. gRPC gives its buffer of 32 KB back while a
	// connection is idle, but only for a plain *net.TCPConn, which those of the guard are not.
	siblingReadBuffer = 4 << 10
	// callerFilesFraction, siblingFilesFraction and otherFilesFraction are the fractions of the descriptors, without those
	// reserved for files, for the connections of callers, of siblings, and of each of the readiness and operators' ports. A
	// quarter is left for connections to targets, the store and siblings, and a twentieth for closing connections.
	callerFilesFraction  = 0.5
	siblingFilesFraction = 0.1
	otherFilesFraction   = 0.05
	// maxOtherConnections bounds the connections of the readiness and operators' ports, which have a few clients.
	maxOtherConnections = 128
	// siblingHandshakeTime bounds the time until a connection of a sibling speaks HTTP/2, and siblingIdleTime the time that one
	// may be open without a call; the siblings' own clients close it before.
	siblingHandshakeTime = 5 * time.Second
	siblingIdleTime      = time.Minute
	// maxSiblingStreams is the number of calls that a sibling may have in progress; more wait at the sibling.
	maxSiblingStreams = 256
	// siblingCallFraction is the fraction of the memory limit for the calls of all siblings that are in progress, and
	// siblingCallBytes the memory of one with a short message: stream, goroutine and buffers.
	siblingCallFraction = 0.125
	siblingCallBytes    = 32 << 10
	// messageMemoryFraction is the fraction of the memory limit for what has arrived of siblings' messages that are not complete.
	// minMessageMemory lets in one of the largest size, 8 MB, and its frames.
	messageMemoryFraction = 1.0 / 16
	minMessageMemory      = 9 << 20
	// guardQuietTime is how long nothing is closed or refused before a limit counts as no longer exceeded.
	guardQuietTime = 10 * time.Second
)

// CheckConnectionLimits returns an error if HeadMemoryMB or MaxConnections is out of range.
func (c Config) CheckConnectionLimits() error {
	if c.HeadMemoryMB != 0 && (c.HeadMemoryMB < minHeadMemory>>20 || c.HeadMemoryMB > maxHeadMemoryMB) {
		return fmt.Errorf("head-memory must be 0, or from %d to %d", minHeadMemory>>20, maxHeadMemoryMB)
	}
	if c.MaxConnections < 0 || c.MaxConnections > maxMaxConnections {
		return fmt.Errorf("max-connections must be from 0 to %d", maxMaxConnections)
	}
	return nil
}

// connectionLimits returns the limits that follow from the settings.
func connectionLimits(c Config, s nodefile.Settings) front.ConnectionLimits {
	memory := int64(s.MemoryLimitMB) << 20
	out := front.ConnectionLimits{HeadMemory: int64(c.HeadMemoryMB) << 20}
	if out.HeadMemory == 0 {
		heads := memory
		if heads == 0 {
			heads = assumedMemoryMB << 20
		}
		out.HeadMemory = max(int64(float64(heads)*headMemoryFraction), minHeadMemory)
	}
	if memory > 0 {
		out.MessageMemory = max(int64(float64(memory)*messageMemoryFraction), minMessageMemory)
	}
	files := max(s.MaxOpenFiles-nodefile.ReservedFiles, 0)
	limit := func(memoryFraction, bytes, filesFraction float64) int {
		byMemory, byFiles := int(float64(memory)*memoryFraction/bytes), int(float64(files)*filesFraction)
		if byMemory == 0 || byFiles == 0 {
			return max(byMemory, byFiles)
		}
		return min(byMemory, byFiles)
	}
	other := maxOtherConnections
	if files > 0 {
		other = min(other, int(float64(files)*otherFilesFraction))
	}
	out.Connections = [front.PortCount]int{
		front.PortCallers:   limit(connectionMemoryFraction, connectionBytes, callerFilesFraction),
		front.PortReadiness: other, front.PortOperators: other,
		front.PortSiblings: limit(siblingMemoryFraction, siblingConnectionBytes, siblingFilesFraction),
	}
	if c.MaxConnections > 0 {
		out.Connections[front.PortCallers] = c.MaxConnections
	}
	return out
}

// siblingLimits returns the options that bound what connections of siblings take.
func siblingLimits(s nodefile.Settings, g *front.Guard) []grpc.ServerOption {
	limit := int64(float64(int64(s.MemoryLimitMB)<<20) * siblingCallFraction / siblingCallBytes)
	calls := &atomic.Int64{}
	return append(siblinggrpc.TrackCalls(func(c net.Conn) siblinggrpc.Call {
		if calls.Add(1) > limit && limit > 0 && !g.CloseStaleCall() {
			calls.Add(-1)
			return nil
		}
		return &siblingCall{front.BeginSiblingCall(c), calls}
	}),
		grpc.ReadBufferSize(siblingReadBuffer),
		grpc.ConnectionTimeout(siblingHandshakeTime), grpc.MaxConcurrentStreams(maxSiblingStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: siblingIdleTime}),
	)
}

// siblingCall is a call in progress.
type siblingCall struct {
	*front.SiblingCall
	inProgress *atomic.Int64
}

// End ends the call and its count.
func (c *siblingCall) End() {
	c.SiblingCall.End()
	c.inProgress.Add(-1)
}

// callerLimits returns the operators' limits in force, none if no routing is known yet.
func (n *Node) callerLimits() document.CallerLimits {
	if s := n.loop.Snapshot(); s.Routing != nil {
		return s.Routing.Limits
	}
	return document.CallerLimits{}
}

// guardLog tells when limits on connections begin and cease to be exceeded.
type guardLog struct {
	before   front.GuardStatus
	limits   [front.PortCount + 1]limitState // of connections by port, and of the memory for heads
	exceeded []limitChange                   // reused
}

// limitState is whether a limit is exceeded.
type limitState struct {
	exceeded bool
	last     time.Time // when it last was
	total    uint64    // connections closed and requests refused since it began to be exceeded
}

// limitChange is a change of a limitState.
type limitChange struct {
	limit    string
	exceeded bool
	total    uint64
}

// update returns the changes since the last update.
func (g *guardLog) update(s front.GuardStatus, now time.Time) []limitChange {
	g.exceeded = g.exceeded[:0]
	check := func(state *limitState, limit string, count uint64) {
		state.total += count
		switch {
		case count > 0:
			state.last = now
			if !state.exceeded {
				state.exceeded = true
				g.exceeded = append(g.exceeded, limitChange{limit, true, state.total})
			}
		case state.exceeded && now.Sub(state.last) >= guardQuietTime:
			g.exceeded = append(g.exceeded, limitChange{limit, false, state.total})
			*state = limitState{}
		}
	}
	for port := range front.PortCount {
		check(&g.limits[port], "connections of "+port.String(), s.Closed[port]-g.before.Closed[port])
	}
	check(&g.limits[front.PortCount], "head memory", s.ClosedForMemory-g.before.ClosedForMemory+s.Refused-g.before.Refused)
	g.before = s
	return g.exceeded
}

// updateGuard sets the gauges of connections and logs changes.
func (n *Node) updateGuard(now time.Time) {
	s := n.guard.Status()
	for port := range front.PortCount {
		tagged := n.metrics.Scope.Tagged(map[string]string{tagPort: port.String()})
		tagged.Gauge(metricConnections).Update(float64(s.Connections[port]))
		tagged.Gauge(metricConnectionsClosed).Update(float64(s.Closed[port]))
	}
	n.metrics.Scope.Gauge(metricHeadBytesHeld).Update(float64(s.HeadBytes))
	n.metrics.Scope.Gauge(metricMessageBytesHeld).Update(float64(s.MessageBytes))
	n.metrics.Scope.Gauge(metricHeadsClosed).Update(float64(s.ClosedForMemory))
	n.metrics.Scope.Gauge(metricHeadsRefused).Update(float64(s.Refused))
	for _, c := range n.guardLog.update(s, now) {
		if c.exceeded {
			n.log.Warn().Str("limit", c.limit).Msg("edge: limit exceeded")
		} else {
			n.log.Info().Str("limit", c.limit).Uint64("closed", c.total).Msg("edge: limit no longer exceeded")
		}
	}
}
