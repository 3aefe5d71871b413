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
)

// instance is one process, which is started again each time it ends.
type instance struct {
	soak *soak
	id   string
	log  string // path
	args []string
	env  []string
	// callers is the proxy's address for callers, direct the instance's own.
	callers, direct string
	readyURL        string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// signal sends a signal to the process that runs, never to one that has ended.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
	default:
		_ = i.process.Process.Signal(sig)
	}
}

// listens reports whether the process has bound its address for callers. Before that it may not have taken over the
// handling of signals from the system yet.
func (i *instance) listens() bool {
	c, err := net.DialTimeout("tcp", i.direct, listenLimit)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// restart ends the process with a signal and starts it again after a pause. A planned stop must end with status 0.
func (i *instance) restart(sig syscall.Signal, down time.Duration) {
	planned := sig == syscall.SIGTERM && i.listens()
	i.signal(sig)
	select {
	case <-i.exited:
	case <-time.After(stopLimit):
		i.soak.find("%s has not ended %v after signal %v", i.id, stopLimit, sig)
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
	if code := i.process.ProcessState.ExitCode(); planned && code != 0 {
		i.soak.find("%s ended with status %d after SIGTERM", i.id, code)
	}
	time.Sleep(down)
	if err := i.start(); err != nil {
		i.soak.find("%s does not start: %v", i.id, err)
	}
}

// end ends the process for good.
func (i *instance) end() {
	if i.exited == nil {
		return
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-i.exited
}

const (
	// stopLimit is above the drain limit in the settings of the instances.
	stopLimit = 15 * time.Second
	// listenLimit bounds the look whether a process listens.
	listenLimit = 200 * time.Millisecond
	// killPause is the least time between two faults that lose what a process knows. An idempotency record is at two
	// instances; docs/proofs.md lists the loss of both before one handed it over as not covered.
	killPause = 6 * time.Second
	// maxFault bounds how long a fault lasts.
	maxFault = 3 * time.Second
	// meanGap is the mean time between the beginnings of faults, so that several overlap.
	meanGap = 400 * time.Millisecond
)

// fault does something and undoes it after a time.
type fault struct {
	name  string
	begin func()
	end   func()
}

// injectFaults starts random faults one after the other, which overlap, and returns when all of them have ended.
func (s *soak) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	began := time.Now()
	lastKill := time.Time{}
	busy := map[*instance]*sync.Mutex{}
	for _, i := range s.instances {
		busy[i] = &sync.Mutex{}
	}
	for time.Since(began) < s.For && ctx.Err() == nil {
		var f fault
		lasts := time.Duration(s.rng.Float64() * float64(maxFault))
		switch n := s.rng.IntN(10); {
		case n < 5:
			f = s.linkFault()
		case n < 7:
			f = s.system.fault(s)
		default:
			i := s.instances[s.rng.IntN(len(s.instances))]
			sig, down := syscall.SIGKILL, lasts/2
			switch s.rng.IntN(3) {
			case 0:
				sig = syscall.SIGTERM
			case 1:
				sig = syscall.SIGSTOP
			}
			if sig != syscall.SIGSTOP && time.Since(lastKill) < killPause {
				sig = syscall.SIGSTOP
			}
			if sig != syscall.SIGSTOP {
				lastKill = time.Now()
			}
			f = s.processFault(i, busy[i], sig, down)
		}
		s.Report("%6.2fs for %4.2fs: %s", time.Since(began).Seconds(), lasts.Seconds(), f.name)
		running.Go(func() {
			f.begin()
			time.Sleep(lasts)
			f.end()
		})
		if !sleep(ctx, time.Duration(s.rng.ExpFloat64()*float64(meanGap))) {
			break
		}
	}
	running.Wait()
}

func (s *soak) linkFault() fault {
	l := s.links[s.rng.IntN(len(s.links))]
	states := []deploy.LinkState{deploy.LinkCut, deploy.LinkFrozen, deploy.LinkFrozenOut, deploy.LinkFrozenBack}
	if n := s.rng.IntN(len(states) + 1); n < len(states) {
		return fault{
			name: "link of " + l.name + " " + string(states[n]), begin: func() { l.link.SetState(states[n]) },
			end: func() { l.link.SetState(deploy.LinkOpen) },
		}
	}
	delay := time.Duration(s.rng.Float64() * float64(200*time.Millisecond))
	return fault{
		name: "link of " + l.name + " delayed by " + delay.String(), begin: func() { l.link.SetDelay(delay) },
		end: func() { l.link.SetDelay(oneWay) },
	}
}

func (s *soak) processFault(i *instance, busy *sync.Mutex, sig syscall.Signal, down time.Duration) fault {
	if sig == syscall.SIGSTOP {
		return fault{name: i.id + " paused", begin: func() { busy.Lock(); i.signal(syscall.SIGSTOP) }, end: func() { i.signal(syscall.SIGCONT); busy.Unlock() }}
	}
	return fault{name: i.id + " ended by " + sig.String(), begin: func() {
		busy.Lock()
		defer busy.Unlock()
		i.restart(sig, down)
	}, end: func() {}}
}

// heal ends what may still be wrong.
func (s *soak) heal() {
	for _, l := range s.links {
		l.link.SetState(deploy.LinkOpen)
		l.link.SetDelay(oneWay)
	}
	s.system.healTargets()
}
