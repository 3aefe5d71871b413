// Package bed is the test bed of the scripts in review/6 and above. It starts instances of the product as separate processes on
// loopback addresses, with a store, searchers and clients that follow the platform's pages.
package bed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// Exit statuses of a case.
const (
	StatusHeld   = 0
	StatusBroken = 1
	StatusNotRun = 2
)

// Zones are the zones of a deployment.
var Zones = []string{"roskilde", "koege", "holbaek"}

// Settings describes a deployment.
type Settings struct {
	// Instances is the number of instances, placed in the zones in turn.
	Instances int
	// ProductPath is the path of the product's program.
	ProductPath string
	// RecordPath is the file that the record of the run is written to.
	RecordPath string
	// CPUShare and MemoryMB are the limits in the settings file.
	CPUShare float64
	MemoryMB int
	// MaxOpenFiles is the limit on descriptors in the settings file.
	MaxOpenFiles int
}

// Bed is a running deployment.
type Bed struct {
	Settings
	Store     *Store
	Instances []*Instance
	started   time.Time
	dir       string

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// Instance is a process of the product.
type Instance struct {
	Name, Zone, IP string
	bed            *Bed
	path           string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// ended is how the process ended, empty while it runs; wanted is set if the test ended it.
	ended  string
	wanted bool
}

// Ports of an instance, the same on all machines.
const (
	frontPort   = "8189"
	readyPort   = "8182"
	controlPort = "8181"
)

// FrontAddress is the address for clients.
func (i *Instance) FrontAddress() string { return net.JoinHostPort(i.IP, frontPort) }

// ReadyURL is the URL of the readiness check.
func (i *Instance) ReadyURL() string {
	return "http://" + net.JoinHostPort(i.IP, readyPort) + "/api/readyz"
}

// ControlAddress is the address for siblings.
func (i *Instance) ControlAddress() string { return net.JoinHostPort(i.IP, controlPort) }

// New starts the store of a deployment. The instances are started by Start.
func New(s Settings) (*Bed, error) {
	if s.CPUShare == 0 {
		s.CPUShare = 0.4
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = 284
	}
	if s.MaxOpenFiles == 0 {
		s.MaxOpenFiles = 4100
	}
	file, err := os.Create(s.RecordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bed-")
	if err != nil {
		return nil, err
	}
	b := &Bed{Settings: s, started: time.Now(), dir: dir, record: bufio.NewWriter(file), file: file}
	if b.Store, err = newStore(b); err != nil {
		return nil, err
	}
	return b, nil
}

// Now returns the time since the start of the run.
func (b *Bed) Now() time.Duration { return time.Since(b.started) }

// Record writes a line to the record.
func (b *Bed) Record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%9.3f ", time.Since(b.started).Seconds())
	_, _ = fmt.Fprintf(b.record, format, args...)
	_ = b.record.WriteByte('\n')
}

// Say writes a line to the record and to standard output.
func (b *Bed) Say(format string, args ...any) {
	b.Record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Start starts all instances at the same time and waits until they are ready.
func (b *Bed) Start() error {
	prefix, err := freePrefix(b.Settings.Instances)
	if err != nil {
		return err
	}
	for n := range b.Settings.Instances {
		zone := Zones[n%len(Zones)]
		b.Instances = append(b.Instances, &Instance{
			Name: fmt.Sprintf("edge-%s-%d", zone, n/len(Zones)+1), Zone: zone, IP: fmt.Sprintf("%s.%d", prefix, n+10), bed: b,
		})
	}
	for _, i := range b.Instances {
		i.path = filepath.Join(b.dir, i.Name+".toml")
		if err := b.writeSettings(i, true); err != nil {
			return err
		}
	}
	for _, i := range b.Instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	for _, i := range b.Instances {
		if err := i.AwaitReady(20 * time.Second); err != nil {
			return err
		}
		// The whole system has started; later starts are those of single processes.
		if err := b.writeSettings(i, false); err != nil {
			return err
		}
	}
	return nil
}

// freePrefix returns the first three numbers of loopback addresses of which the ports of n machines are free.
func freePrefix(n int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		free := true
		for m := range n {
			for _, port := range []string{frontPort, readyPort, controlPort, "9464"} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", prefix, m+10, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// writeSettings writes the settings file of an instance, with the bounds of the deployment andedrift.
func (b *Bed) writeSettings(i *Instance, first bool) error {
	var seeds []string
	for _, s := range b.Instances[:min(3, len(b.Instances))] {
		seeds = append(seeds, s.ControlAddress())
	}
	text := fmt.Sprintf(`NodeName = %q
Role = "edge"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = %q
Zone = %q
Region = "dk-east"
InternalPortRange = [7160,7175]
Seeds = ["%s"]
Bootstrap = %t
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter","places","tenants","quota","platform"]
[Zones]
roskilde = "dk-east"
koege = "dk-east"
holbaek = "dk-east"
[BindAddresses]
Frontend = %q
Readiness = "%s:%s"
Control = %q
[Limits]
CpuShare = %g
CpuCores = 1
MemoryMb = %d
MaxOpenFiles = %d
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseDelayS = 2
ContactMs = 4000
AckTimeoutMs = 5000
CatchupS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
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
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`, i.Name, i.IP, i.Zone, strings.Join(seeds, `","`), first, i.FrontAddress(), i.IP, readyPort, i.ControlAddress(), b.CPUShare, b.MemoryMB, b.MaxOpenFiles, b.Store.Address())
	return os.WriteFile(i.path, []byte(text), 0o600)
}

// Start starts the process with the command of the deploy file.
func (i *Instance) Start() error {
	out, err := os.OpenFile(i.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(i.bed.ProductPath, "edge")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOGWOODDRIFT_NODE_FILE=" + i.path}
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.command, i.exited, i.ended, i.wanted = command, exited, "", false
	i.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = out.Close()
		i.mu.Lock()
		i.ended = command.ProcessState.String()
		wanted := i.wanted
		i.mu.Unlock()
		i.bed.Record("process %s ended: %s, by the test: %t", i.Name, command.ProcessState, wanted)
		close(exited)
	}()
	i.bed.Record("process %s started, pid %d", i.Name, command.Process.Pid)
	return nil
}

// Signal sends a signal to the process. ends tells that the process is to end.
func (i *Instance) Signal(s syscall.Signal, ends bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.wanted = i.wanted || ends
	if i.command != nil && i.ended == "" {
		i.bed.Record("signal %v to %s", s, i.Name)
		_ = i.command.Process.Signal(s)
	}
}

// Ended tells how the process ended, empty while it runs, and whether the test ended it.
func (i *Instance) Ended() (how string, wanted bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ended, i.wanted
}

// AwaitExit waits until the process has ended.
func (i *Instance) AwaitExit(limit time.Duration) error {
	select {
	case <-i.exited:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s still runs after %v", i.Name, limit)
	}
}

// Ready reports whether the instance answers its readiness check with 200.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(i.ReadyURL())
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready.
func (i *Instance) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if i.Ready() {
			return nil
		}
		if how, _ := i.Ended(); how != "" {
			return fmt.Errorf("%s ended: %s", i.Name, how)
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.Name, limit)
}

// PID returns the ID of the process.
func (i *Instance) PID() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command.Process.Pid
}

// Log returns what the instance has logged.
func (i *Instance) Log() string {
	text, _ := os.ReadFile(i.path + ".log")
	return string(text)
}

// Close ends all processes and closes the record. With BED_LOGS set, the logs of the instances are copied to that folder.
func (b *Bed) Close() {
	for _, i := range b.Instances {
		if i.command == nil {
			continue
		}
		i.Signal(syscall.SIGCONT, false)
		i.Signal(syscall.SIGKILL, true)
		_ = i.AwaitExit(5 * time.Second)
	}
	if to := os.Getenv("BED_LOGS"); to != "" {
		for _, i := range b.Instances {
			_ = os.WriteFile(filepath.Join(to, i.Name+".log"), []byte(i.Log()), 0o600)
		}
	}
	b.Store.close()
	_ = os.RemoveAll(b.dir)
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
	_ = b.file.Close()
}

// Main runs a case and exits with its status. A case that takes longer than limit, or panics, could not run.
func Main(s Settings, limit time.Duration, run func(b *Bed) (int, error)) {
	s.ProductPath = "target/dogwooddrift"
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(StatusNotRun)
	}
	s.RecordPath = os.Args[1]
	b, err := New(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(StatusNotRun)
	}
	type result struct {
		status int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		status, err := run(b)
		done <- result{status, err}
	}()
	r := result{StatusNotRun, errors.New("the case took too long")}
	select {
	case r = <-done:
	case <-time.After(limit):
	}
	if r.err != nil {
		b.Say("could not run: %v", r.err)
		r.status = StatusNotRun
	}
	b.Say("status %d", r.status)
	b.Close()
	os.Exit(r.status)
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Drain reads a body to its end.
func Drain(r io.Reader) (int64, error) { return io.Copy(io.Discard, r) }
