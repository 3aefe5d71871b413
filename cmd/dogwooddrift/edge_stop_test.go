package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"dogwooddrift.org/drift/platform/platformtest"
)

const (
	// stopWorkTime is the processing time of a change: some are sent so late that they cannot end within the grace time.
	stopWorkTime = 1200 * time.Millisecond
	stopDeadline = 2 * time.Second
	// stopGrace is the grace time in the settings file.
	stopGrace = 6 * time.Second
	// lateSends connections, opened before the stop, send a change each, the first at SIGTERM and each further one
	// lateSendGap later.
	lateSends   = 110
	lateSendGap = 50 * time.Millisecond
)

// keptConnection is a caller's connection that is used as long as the instance keeps it open.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

func dialKept(address string) (*keptConnection, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &keptConnection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request. It returns the status of its complete answer, and whether the instance closes the connection after it.
func (c *keptConnection) send(method, path, attempt string, deadline time.Duration) (status int, closing bool, err error) {
	r, err := platformtest.CallerRequest(method, c.RemoteAddr().String(), edgeHost, path, attempt, edgeKey, deadline, "text")
	if err != nil {
		return 0, true, err
	}
	if err := r.Write(c); err != nil {
		return 0, true, err
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return 0, true, err
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0, true, err
	}
	return response.StatusCode, response.Close, nil
}

// Guards against a planned stop that passes on a request of a kept connection late in the grace time and then closes the
// connection without an answer.
func TestEdgeStopAnswersEachRequestItPassesOn(t *testing.T) {
	fleet, targets := startEdgeFleet(t, 0)
	e := fleet[0]
	e.awaitReady(t)
	for _, x := range targets {
		if x.Service == "one" {
			x.SetFaults(platformtest.Faults{Slow: stopWorkTime})
		}
	}
	var connections []*keptConnection
	for n := range lateSends {
		c, err := dialKept(e.callersAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if status, _, err := c.send(http.MethodGet, "/many/x", fmt.Sprint("before-", n), stopDeadline); err != nil || status != http.StatusOK {
			t.Fatalf("request before the stop: status %d, error %v", status, err)
		}
		connections = append(connections, c)
	}
	if err := e.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	signalled := time.Now()
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses, notPassedOn := map[int]int{}, 0
	for n, c := range connections {
		group.Go(func() {
			after := time.Duration(n) * lateSendGap
			time.Sleep(time.Until(signalled.Add(after)))
			attempt := fmt.Sprint("late-", n)
			status, _, err := c.send(http.MethodPost, "/one/x", attempt, stopDeadline)
			ended := time.Since(signalled)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				statuses[status]++
				return
			}
			notPassedOn++
			for _, x := range targets {
				if x.Runs(attempt) > 0 {
					t.Errorf("a change sent %v after SIGTERM ran and its connection ended %v after SIGTERM without an answer: %v", after, ended, err)
				}
			}
		})
	}
	group.Wait()
	if err := e.process.Wait(); err != nil {
		t.Errorf("the instance ended with %v, want exit code 0", err)
	}
	if took := time.Since(signalled); took > stopGrace {
		t.Errorf("the instance ended after %v, its grace time is %v", took, stopGrace)
	}
	t.Logf("statuses %v, %d connections closed before the request was passed on", statuses, notPassedOn)
	if statuses[http.StatusOK] == 0 {
		t.Error("no change was answered during the stop")
	}
}
