// Package harness starts a small deployment of edge processes with stand-ins for the platform, the searchers and the
// clients. The review cases under review/ use it.
package harness

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Trouble reports whether the case injects its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes the record of a case: one line for each event, with the seconds since the start of the case.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{out: f, start: time.Now()}, nil
}

// Line writes a line.
func (r *Record) Line(format string, values ...any) { r.LineAt(time.Now(), format, values...) }

// LineAt writes a line about an event at a time.
func (r *Record) LineAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Summary writes a line to the record and to standard output.
func (r *Record) Summary(format string, values ...any) {
	r.Line(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Deployment is a set of edge processes and the stand-ins around them.
type Deployment struct {
	Record *Record
	Store  *Store
	Edges  []*Edge
	// CPUShare is the part of a core that the settings of the edges state; 1 if it is 0.
	CPUShare float64

	dir     string
	closers []func()
}

// Bounds of the settings files, as in the example of the platform's page on deployment.
const (
	GraceS        = 6
	ConfigApplyMs = 3000
	DrainMs       = 3000
	ContactMs     = 4000
)

// New starts the store.
func New(record *Record) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, Store: newStore(), dir: dir}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	if err := d.Store.serve(); err != nil {
		return nil, err
	}
	d.closers = append(d.closers, d.Store.close)
	return d, nil
}

// Close ends all edge processes and stand-ins.
func (d *Deployment) Close() {
	for _, e := range d.Edges {
		e.kill()
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// Edge is one edge process.
type Edge struct {
	Name, Zone string
	// Callers, Readiness and Control are the addresses of the process.
	Callers, Readiness, Control string
	// StoreLink is the way of this machine to the store.
	StoreLink *Link

	d        *Deployment
	ip, file string
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
}

// AddEdges adds the edge processes of zones: count of them in each zone. They are started by StartEdges.
func (d *Deployment) AddEdges(zones []string, count int) error {
	// Each machine has a loopback address of its own, because the metrics port is the same on all of them.
	var b [2]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	for z, zone := range zones {
		for n := range count {
			e := &Edge{
				d: d, Name: fmt.Sprintf("edge-%s-%d", zone, n+1), Zone: zone, exited: make(chan struct{}),
				ip: fmt.Sprintf("127.%d.%d.%d", 16+int(b[0])%200, 1+int(b[1])%250, 10*(z+1)+n),
			}
			if err := freeAddresses(e.ip, &e.Callers, &e.Readiness, &e.Control); err != nil {
				return err
			}
			link, err := newLink(d.Store.Address)
			if err != nil {
				return err
			}
			d.closers = append(d.closers, link.close)
			e.StoreLink = link
			e.file = filepath.Join(d.dir, e.Name+".toml")
			d.Edges = append(d.Edges, e)
		}
	}
	share := d.CPUShare
	if share == 0 {
		share = 1
	}
	var seeds []string
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", d.Edges[z*count].Control))
	}
	var zoneLines strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneLines, "%s = \"region\"\n", z)
	}
	for _, e := range d.Edges {
		text := fmt.Sprintf(`NodeName = %q
Role = "edge"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = %q
Zone = %q
Region = "region"
Seeds = [%s]
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Zones]
%s[BindAddresses]
Frontend = %q
Readiness = %q
Control = %q
[Limits]
CpuShare = %g
CpuCores = 1
MemoryMb = 284
MaxOpenFiles = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseDelayS = 2
ContactMs = %d
AckTimeoutMs = 5000
CatchupS = 4
DrainMs = %d
GraceS = %d
LossSlackMs = 200
ConfigApplyMs = %d
RollbackSlackMs = 250
OuterMs = 12000
RevokeFailClosed = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetMinRetries = 58
QuotaWindowS = 5
QuotaOverage = 0.25
QuotaSlack = 20
WarmupOverage = 1.5
WarmupSlack = 5
EvacuateMs = 5000
RecoveryS = 12
[platform]
Address = %q
form = "read"
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
`, e.Name, e.ip, e.Zone, strings.Join(seeds, ","), zoneLines.String(), e.Callers, e.Readiness, e.Control, share, ContactMs, DrainMs, GraceS,
			ConfigApplyMs, e.StoreLink.Address)
		if err := os.WriteFile(e.file, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// freeAddresses sets addresses with free ports on an IP address, which all differ.
func freeAddresses(ip string, addresses ...*string) error {
	for _, address := range addresses {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*address = l.Addr().String()
	}
	return nil
}

// StartEdges starts all edge processes and waits until they are ready.
func (d *Deployment) StartEdges() error {
	for _, e := range d.Edges {
		if err := e.Start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(20 * time.Second)
	for _, e := range d.Edges {
		for !e.Ready() {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", e.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Start starts the process with the command of the deploy file.
func (e *Edge) Start() error {
	log, err := os.Create(e.file + "." + fmt.Sprint(time.Now().UnixNano()) + ".log")
	if err != nil {
		return err
	}
	c := exec.Command("target/dogwooddrift", "edge")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOGWOODDRIFT_NODE_FILE=" + e.file}
	c.Stdout, c.Stderr = log, log
	// The process ends with the case, also if the case is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	_ = log.Close()
	exited := make(chan struct{})
	e.mu.Lock()
	e.process, e.exited = c, exited
	e.mu.Unlock()
	go func() {
		err := c.Wait()
		e.d.Record.Line("%s ends: %v", e.Name, err)
		close(exited)
	}()
	return nil
}

// Terminate sends SIGTERM, and SIGKILL after the grace time as the platform does. It returns when the process has ended.
func (e *Edge) Terminate() {
	e.mu.Lock()
	c, exited := e.process, e.exited
	e.mu.Unlock()
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(GraceS * time.Second):
		_ = c.Process.Kill()
		<-exited
	}
}

func (e *Edge) kill() {
	e.mu.Lock()
	c, exited := e.process, e.exited
	e.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-exited
}

// Ready asks the process as the platform's load balancer does.
func (e *Edge) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.Readiness + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Balancer tells which edges get new connections: it asks each of them once a second, and two misses in a row take an edge
// out.
type Balancer struct {
	edges  []*Edge
	mu     sync.Mutex
	misses map[*Edge]int
}

// NewBalancer starts a balancer for the edges, which runs until ctx ends.
func NewBalancer(ctx context.Context, edges []*Edge) *Balancer {
	b := &Balancer{edges: edges, misses: map[*Edge]int{}}
	for _, e := range edges {
		go func() {
			for ctx.Err() == nil {
				ready := e.Ready()
				b.mu.Lock()
				if ready {
					b.misses[e] = 0
				} else {
					b.misses[e]++
				}
				b.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

// Takes reports whether the edge gets new connections.
func (b *Balancer) Takes(e *Edge) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[e] < 2
}

// Choose returns the edge of a client's new connection from a zone, as the platform does by a hash of the client: one of the
// zone's edges in rotation; if fewer than half of them are, one of all the zone's edges; if none is, one of the others in
// rotation.
func (b *Balancer) Choose(client int, zone string) *Edge {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all, in, others []*Edge
	for _, e := range b.edges {
		switch misses := b.misses[e]; {
		case e.Zone == zone && misses < 2:
			all, in = append(all, e), append(in, e)
		case e.Zone == zone:
			all = append(all, e)
		case misses < 2:
			others = append(others, e)
		}
	}
	switch {
	case len(in) == 0 && len(others) > 0:
		return others[client%len(others)]
	case 2*len(in) < len(all):
		return all[client%len(all)]
	}
	return in[client%len(in)]
}

// Link is a proxy between a machine and the store. While it is cut, it passes on nothing in either direction: connections
// stay open and silent.
type Link struct {
	Address string

	target   string
	listener net.Listener
	mu       sync.Mutex
	healed   chan struct{} // closed unless the link is cut
	conns    map[net.Conn]bool
	watching int // watches that wait for the store
}

func newLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{Address: l.Addr().String(), target: target, listener: l, healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(k.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

// Cut cuts the link.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

// Heal ends the cut. What was held up is lost with its connections.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
	close(k.healed)
}

func (k *Link) state() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healed
}

// Watching reports whether the machine has a watch waiting at the store, that is, whether it reads the platform's list.
func (k *Link) Watching() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.watching > 0
}

func (k *Link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	<-k.state()
	s, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	k.mu.Lock()
	k.conns[c], k.conns[s] = true, true
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.conns, c)
		delete(k.conns, s)
		k.mu.Unlock()
	}()
	go func() {
		k.copy(s, c, func(b []byte) int { return strings.Count(string(b), "GET /api/kv-watch") })
		_ = s.Close()
	}()
	k.copy(c, s, func(b []byte) int { return -strings.Count(string(b), "HTTP/1.1 200") })
}

func (k *Link) copy(to, from net.Conn, watches func([]byte) int) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			<-k.state()
			k.mu.Lock()
			k.watching = max(k.watching+watches(b[:n]), 0)
			k.mu.Unlock()
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (k *Link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
	select {
	case <-k.healed:
	default:
		close(k.healed)
	}
}

// Run runs a case and ends the program with its exit code. The case gets a deployment without edges and returns whether the
// rule was broken.
func Run(limit time.Duration, run func(*Deployment) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: case FOLDER")
		os.Exit(ExitFailed)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(ExitFailed)
	}
	d, err := New(record)
	if err != nil {
		fmt.Println(err)
		os.Exit(ExitFailed)
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run(d)
		done <- outcome{broken, err}
	}()
	o := outcome{err: errors.New("the case took too long")}
	select {
	case o = <-done:
	case <-time.After(limit):
	}
	d.Close()
	switch {
	case o.err != nil:
		record.Summary("the case could not run: %v", o.err)
		os.Exit(ExitFailed)
	case o.broken:
		record.Summary("the rule was broken")
		os.Exit(ExitBroken)
	}
	record.Summary("the rule held")
	os.Exit(ExitHeld)
}
