package soak

import (
	"context"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"dogwooddrift.org/drift/cmd/internal/deploy"
	"dogwooddrift.org/drift/cmd/internal/rules"
)

// instance is one instance process with its proxies. Restart faults stop the process and start it again.
type instance struct {
	soak    *soak
	id      string
	logPath string
	args    []string
	env     []string
	// callersAddress is the proxy address that callers connect to; boundAddress is the address that the instance binds.
	callersAddress, boundAddress string
	readyURL                     string

	// metricsAddress is where the instance serves its metrics, "" if it does not.
	metricsAddress string

	// faultLock serialises the faults of the process.
	faultLock sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	i.process = exec.Command(i.soak.Command, i.args...)
	i.process.Env = slices.Concat(os.Environ(), i.soak.Env, i.env)
	i.process.Stdout, i.process.Stderr = log, log
	if err := i.process.Start(); err != nil {
		return err
	}
	process, exited := i.process, make(chan struct{})
	i.exited = exited
	go func() { _ = process.Wait(); close(exited) }()
	return nil
}

// signal sends a signal to the process, or does nothing if the process has exited.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
	default:
		_ = i.process.Process.Signal(sig)
	}
}

// isListening reports whether the process has bound its address for callers. Before that, it may not have installed its
// signal handlers, so that SIGTERM ends it with the default action.
func (i *instance) isListening() bool {
	c, err := net.DialTimeout("tcp", i.boundAddress, dialTimeout)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// restart stops the process with the signal and starts it again after downtime. It adds a finding if the process does not
// exit within stopLimit, or if a listening process exits with a status other than 0 after SIGTERM.
func (i *instance) restart(sig syscall.Signal, downtime time.Duration) {
	planned := sig == syscall.SIGTERM && i.isListening()
	if planned {
		i.soak.recording.add(rules.Terminated{At: i.soak.recording.now(), Instance: i.id})
	} else {
		defer i.soak.recording.disrupt(sig.String(), i.id)()
	}
	i.signal(sig)
	select {
	case <-i.exited:
	case <-time.After(stopLimit):
		i.soak.addFinding("%s has not ended %v after signal %v", i.id, stopLimit, sig)
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
	if code := i.process.ProcessState.ExitCode(); planned && code != 0 {
		i.soak.addFinding("%s ended with status %d after SIGTERM", i.id, code)
	}
	time.Sleep(downtime)
	i.soak.recording.add(rules.Started{At: i.soak.recording.now(), Instance: i.id})
	if err := i.start(); err != nil {
		i.soak.addFinding("%s does not start: %v", i.id, err)
	}
}

// terminate kills the process without a restart, also if it is paused.
func (i *instance) terminate() {
	if i.exited == nil {
		return
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-i.exited
}

const (
	// stopLimit bounds the time from a signal to the exit of the process. It exceeds the drain limit in the instance
	// settings.
	stopLimit = 15 * time.Second
	// dialTimeout bounds the connection attempt that checks whether a process is listening.
	dialTimeout = 200 * time.Millisecond
	// minKillInterval is the minimum time between two faults that lose the memory of a process. An idempotency record is
	// kept by two instances; docs/proofs.md excludes the loss of both before one of them has handed the record over.
	minKillInterval = 6 * time.Second
	// maxFaultDuration bounds the duration of a fault.
	maxFaultDuration = 3 * time.Second
	// meanStopInterval is the mean time between two pieces of planned work. It is shorter than a stop, so that stops overlap.
	meanStopInterval = 1200 * time.Millisecond
	// meanFaultInterval is the mean time between the starts of faults. It is shorter than most faults, so that several
	// overlap.
	meanFaultInterval = 400 * time.Millisecond
)

// fault is a fault to inject: begin causes it and end reverts it.
type fault struct {
	name  string
	begin func()
	end   func()
}

// injectFaults starts random, overlapping faults for a time, and returns when all faults have ended.
func (s *soak) injectFaults(ctx context.Context, length time.Duration) {
	var running sync.WaitGroup
	start := time.Now()
	lastKill := time.Time{}
	for time.Since(start) < length && ctx.Err() == nil {
		if s.Planned {
			f := s.plannedWork()
			s.Report("%6.2fs: %s", time.Since(start).Seconds(), f.name)
			running.Go(f.begin)
			if !sleep(ctx, time.Duration(s.rng.ExpFloat64()*float64(meanStopInterval))) {
				break
			}
			continue
		}
		var f fault
		duration := time.Duration(s.rng.Float64() * float64(maxFaultDuration))
		switch n := s.rng.IntN(10); {
		case n < 5:
			f = s.linkFault()
		case n < 7:
			f = s.environment.fault(s)
		default:
			i := s.instances[s.rng.IntN(len(s.instances))]
			sig, downtime := syscall.SIGKILL, duration/2
			switch s.rng.IntN(3) {
			case 0:
				sig = syscall.SIGTERM
			case 1:
				sig = syscall.SIGSTOP
			}
			if sig != syscall.SIGSTOP && time.Since(lastKill) < minKillInterval {
				sig = syscall.SIGSTOP
			}
			if sig != syscall.SIGSTOP {
				lastKill = time.Now()
			}
			f = s.processFault(i, &i.faultLock, sig, downtime)
		}
		s.Report("%6.2fs for %4.2fs: %s", time.Since(start).Seconds(), duration.Seconds(), f.name)
		running.Go(func() {
			f.begin()
			time.Sleep(duration)
			f.end()
		})
		if !sleep(ctx, time.Duration(s.rng.ExpFloat64()*float64(meanFaultInterval))) {
			break
		}
	}
	running.Wait()
}

// plannedWork returns the restart of a random instance, or new properties of a random target.
func (s *soak) plannedWork() fault {
	if s.rng.IntN(3) == 0 {
		return s.environment.fault(s)
	}
	i := s.instances[s.rng.IntN(len(s.instances))]
	return s.processFault(i, &i.faultLock, syscall.SIGTERM, time.Duration(s.rng.Float64()*float64(time.Second)))
}

// linkFault returns a fault of a random link: cut, frozen in one or both directions, or delayed.
func (s *soak) linkFault() fault {
	l := s.links[s.rng.IntN(len(s.links))]
	states := []deploy.LinkState{deploy.LinkCut, deploy.LinkFrozen, deploy.LinkFrozenOut, deploy.LinkFrozenBack}
	if n := s.rng.IntN(len(states) + 1); n < len(states) {
		return s.recorded(fault{
			name: "link of " + l.name + " " + string(states[n]), begin: func() { l.link.SetState(states[n]) },
			end: func() { l.link.SetState(deploy.LinkOpen) },
		})
	}
	delay := time.Duration(s.rng.Float64() * float64(200*time.Millisecond))
	return s.recorded(fault{
		name: "link of " + l.name + " delayed by " + delay.String(), begin: func() { l.link.SetDelay(delay) },
		end: func() { l.link.SetDelay(baseLinkDelay) },
	})
}

// recorded returns a fault that is recorded as a disruption of the instances, of all if none are named.
func (s *soak) recorded(f fault, instances ...string) fault {
	var ended func()
	return fault{
		name:  f.name,
		begin: func() { ended = s.recording.disrupt(f.name, instances...); f.begin() },
		end:   func() { f.end(); ended() },
	}
}

// processFault returns a pause of the process for SIGSTOP, and a restart for other signals. processLock serialises the
// process faults of one instance.
func (s *soak) processFault(i *instance, processLock *sync.Mutex, sig syscall.Signal, downtime time.Duration) fault {
	if sig == syscall.SIGSTOP {
		return s.recorded(fault{name: i.id + " paused", begin: func() { processLock.Lock(); i.signal(syscall.SIGSTOP) }, end: func() { i.signal(syscall.SIGCONT); processLock.Unlock() }}, i.id)
	}
	return fault{name: i.id + " ended by " + sig.String(), begin: func() {
		processLock.Lock()
		defer processLock.Unlock()
		i.restart(sig, downtime)
	}, end: func() {}}
}

// clearFaults restores all links and targets to their state without faults.
func (s *soak) clearFaults() {
	for _, l := range s.links {
		l.link.SetState(deploy.LinkOpen)
		l.link.SetDelay(baseLinkDelay)
	}
	s.environment.clearTargetFaults()
}
