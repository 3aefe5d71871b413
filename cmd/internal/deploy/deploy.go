// Package deploy runs a whole deployment in one process, for the demo, the load tool and integration tests:
// emulated targets and platform, entry instances, and a network between zones that can fail.
package deploy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/node"
	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/document"
)

// ErrNotReady means that an entry instance did not become ready in time.
var ErrNotReady = errors.New("entry instance is not ready")

// ErrUnknownInstance means that no running entry instance has the ID.
var ErrUnknownInstance = errors.New("no such entry instance")

// Organisation is an organisation with its key in plain text.
type Organisation struct {
	Name   string
	Key    string
	IsHost bool
	Rate   float64
	Burst  float64
	Weight float64
}

// Options describes a deployment.
type Options struct {
	Zones []string
	// Instances is the number of entry instances, spread over the zones in turn.
	Instances     int
	Services      []standin.ServiceOptions
	Organisations []Organisation
	// ZoneDelay and ClientDelay are one way: between zones, and between callers and any zone.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// KeyedLimit and ChangeWindow go into the document; zero means a minute and ten minutes.
	KeyedLimit   time.Duration
	ChangeWindow time.Duration
	Seed         uint64
	// Adjust changes the settings of an entry instance before it starts. May be nil.
	Adjust func(*settings.Settings)
	Log    zerolog.Logger
}

// Entry is a running entry instance.
type Entry struct {
	ID, Zone string
	// Address is for callers, PeerAddress for siblings and OperatorsAddress for operators.
	Address, PeerAddress, OperatorsAddress string
}

// Deployment is a running deployment. Its methods are safe for concurrent use.
type Deployment struct {
	Fleet    *standin.Fleet
	Platform *standin.Platform
	Network  *Network

	options  Options
	platform *http.Server
	base     string

	mu       sync.Mutex
	running  map[string]*instance
	document *document.Document
	list     *document.InstanceList
	leaving  map[string]bool // entry instances and targets
	started  int
	errs     []error
}

type instance struct {
	entry Entry
	node  *node.Node
	stop  context.CancelFunc // graceful
	abort context.CancelFunc
	done  chan struct{}
}

const (
	defaultKeyedLimit   = time.Minute
	defaultChangeWindow = 10 * time.Minute
	// drainNotice is longer than the balancer needs to turn away from an unready instance.
	drainNotice = 3 * balancerInterval
	readyPoll   = 20 * time.Millisecond
)

// Start starts everything and returns when all processes run. They may not be ready yet.
func Start(o Options) (*Deployment, error) {
	var keys []string
	for _, org := range o.Organisations {
		keys = append(keys, org.Key)
	}
	fleet, err := standin.NewFleet(o.Services, o.Zones, standin.WithSeed(o.Seed), standin.WithSecrets(keys...))
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Fleet: fleet, Platform: standin.NewPlatform(), options: o, running: map[string]*instance{}, leaving: map[string]bool{},
		list: &document.InstanceList{}, document: documentOf(o),
	}
	d.Network = NewNetwork(func(a, b string) time.Duration {
		switch {
		case a == PlaceClients || b == PlaceClients:
			return o.ClientDelay
		case a == PlacePlatform || b == PlacePlatform:
			return 0
		default:
			return o.ZoneDelay
		}
	})
	for _, in := range fleet.Instances {
		d.Network.Register(in.Address, in.Zone)
	}
	if err := d.start(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.base = "http://" + listener.Addr().String()
	d.Network.Register(listener.Addr().String(), PlacePlatform)
	d.platform = &http.Server{Handler: d.Platform, ReadHeaderTimeout: time.Second}
	go func() { _ = d.platform.Serve(listener) }()
	if err := d.Platform.PublishDocument(d.document); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.options.Instances {
		if _, err := d.add(d.options.Zones[i%len(d.options.Zones)]); err != nil {
			return err
		}
	}
	return d.publishList()
}

func documentOf(o Options) *document.Document {
	d := &document.Document{
		Revision:     1,
		Isolation:    document.Isolation{KeyedLimit: document.Seconds(orDefault(o.KeyedLimit, defaultKeyedLimit).Seconds())},
		ChangeWindow: document.Seconds(orDefault(o.ChangeWindow, defaultChangeWindow).Seconds()),
	}
	for _, org := range o.Organisations {
		d.Organisations = append(d.Organisations, document.Organisation{
			Name: org.Name, IsHost: org.IsHost, Rate: org.Rate, Burst: org.Burst, Weight: org.Weight,
			Keys: []document.Key{{ID: "main", SHA256: caller.Digest(org.Key)}},
		})
	}
	for _, s := range o.Services {
		d.Services = append(d.Services, document.Service{
			Name: s.Name, Sharded: s.Shards > 0, KeyOptional: s.KeyOptional, Slots: s.Slots, MaxConnections: s.Connections,
		})
	}
	for _, z := range o.Zones {
		d.Zones = append(d.Zones, document.Zone{Name: z, RateFraction: 1 / float64(len(o.Zones))})
	}
	return d
}

func orDefault(v, fallback time.Duration) time.Duration {
	if v == 0 {
		return fallback
	}
	return v
}

// add starts an entry instance. It needs d.mu.
func (d *Deployment) add(zone string) (Entry, error) {
	d.started++
	s := settings.Default()
	s.ID, s.Zone, s.Platform = fmt.Sprintf("entry-%s-%d", zone, d.started), zone, d.base
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Siblings: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Drain.Notice = drainNotice
	if d.options.Adjust != nil {
		d.options.Adjust(&s)
	}
	n, err := node.New(s, d.options.Log, node.WithDial(d.Network.Dial(zone)))
	if err != nil {
		return Entry{}, err
	}
	in := &instance{
		entry: Entry{ID: s.ID, Zone: zone, Address: n.CallersAddress(), PeerAddress: n.SiblingsAddress(), OperatorsAddress: n.OperatorsAddress()},
		node:  n, done: make(chan struct{}),
	}
	var ctx, abort context.Context
	ctx, in.stop = context.WithCancel(context.Background())
	abort, in.abort = context.WithCancel(context.Background())
	for _, address := range []string{in.entry.Address, in.entry.PeerAddress} {
		d.Network.Register(address, zone)
	}
	d.running[s.ID] = in
	go func() {
		defer close(in.done)
		if err := n.Run(ctx, abort); err != nil {
			d.mu.Lock()
			d.errs = append(d.errs, fmt.Errorf("%s: %w", s.ID, err))
			d.mu.Unlock()
		}
	}()
	return in.entry, nil
}

// publishList publishes the running entry instances and the targets. It needs d.mu.
func (d *Deployment) publishList() error {
	list := &document.InstanceList{Revision: d.list.Revision + 1}
	for _, in := range d.Fleet.Instances {
		in.State = d.stateOf(in.ID)
		list.Instances = append(list.Instances, in)
	}
	for _, e := range d.entries() {
		list.Instances = append(list.Instances, document.Instance{
			ID: e.ID, Kind: document.KindEntry, Zone: e.Zone, Address: e.Address, PeerAddress: e.PeerAddress, State: d.stateOf(e.ID),
		})
	}
	d.list = list
	return d.Platform.PublishInstances(list)
}

func (d *Deployment) stateOf(id string) document.State {
	if d.leaving[id] {
		return document.StateLeaving
	}
	return document.StateLive
}

// entries needs d.mu.
func (d *Deployment) entries() []Entry {
	out := make([]Entry, 0, len(d.running))
	for _, in := range d.running {
		out = append(out, in.entry)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Entries returns the running entry instances, by ID.
func (d *Deployment) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries()
}

// Add starts one more entry instance in the zone and lists it.
func (d *Deployment) Add(zone string) (Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, err := d.add(zone)
	if err != nil {
		return Entry{}, err
	}
	return e, d.publishList()
}

// Stop stops an entry instance gracefully: it is listed as leaving, stops, and is taken off the list.
func (d *Deployment) Stop(id string) error {
	d.mu.Lock()
	in := d.running[id]
	if in == nil {
		d.mu.Unlock()
		return fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	d.leaving[id] = true
	err := d.publishList()
	d.mu.Unlock()
	in.stop()
	<-in.done
	return errors.Join(err, d.remove(in))
}

// Kill ends an entry instance at once, without a planned stop. The list shows it until Unlist.
func (d *Deployment) Kill(id string) error {
	d.mu.Lock()
	in := d.running[id]
	d.mu.Unlock()
	if in == nil {
		return fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	in.abort()
	<-in.done
	return nil
}

// Unlist takes an ended entry instance off the list.
func (d *Deployment) Unlist(id string) error {
	d.mu.Lock()
	in := d.running[id]
	d.mu.Unlock()
	if in == nil {
		return fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	<-in.done
	return d.remove(in)
}

func (d *Deployment) remove(in *instance) error {
	in.stop()
	in.abort()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, in.entry.ID)
	delete(d.leaving, in.entry.ID)
	return d.publishList()
}

// Replace stops an entry instance gracefully and starts a new one in its zone.
func (d *Deployment) Replace(id string) (Entry, error) {
	d.mu.Lock()
	in := d.running[id]
	d.mu.Unlock()
	if in == nil {
		return Entry{}, fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	if err := d.Stop(id); err != nil {
		return Entry{}, err
	}
	return d.Add(in.entry.Zone)
}

// SetLeaving lists a target as leaving, or as live again.
func (d *Deployment) SetLeaving(target string, on bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[target] = on
	if t := d.Fleet.Targets[target]; t != nil {
		t.SetOutOfService(on)
	}
	return d.publishList()
}

// Publish publishes a changed copy of the document with the next revision.
func (d *Deployment) Publish(change func(*document.Document)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.document
	next.Organisations = slices.Clone(next.Organisations)
	next.Services = slices.Clone(next.Services)
	next.Zones = slices.Clone(next.Zones)
	next.InstancesOutOfService = slices.Clone(next.InstancesOutOfService)
	change(&next)
	next.Revision = d.document.Revision + 1
	d.document = &next
	return d.Platform.PublishDocument(&next)
}

// SetZoneOutOfService takes a zone out of service or back, and lets its targets count what arrives meanwhile.
func (d *Deployment) SetZoneOutOfService(zone string, out bool) error {
	err := d.Publish(func(doc *document.Document) {
		for i := range doc.Zones {
			if doc.Zones[i].Name == zone {
				doc.Zones[i].OutOfService = out
			}
		}
	})
	for _, t := range d.Fleet.Select("", "", zone) {
		t.SetOutOfService(out)
	}
	return err
}

// WithdrawKeys takes all keys of an organisation out of the document.
func (d *Deployment) WithdrawKeys(organisation string) error {
	return d.Publish(func(doc *document.Document) {
		for i := range doc.Organisations {
			if doc.Organisations[i].Name == organisation {
				doc.Organisations[i].Keys = nil
			}
		}
	})
}

// SetZoneLinks changes the links from a zone to all other zones, and to the platform as well if told so.
func (d *Deployment) SetZoneLinks(zone string, s LinkState, withPlatform bool) {
	for _, other := range d.options.Zones {
		if other != zone {
			d.Network.Link(zone, other).SetState(s)
		}
	}
	if withPlatform {
		d.Network.Link(zone, PlacePlatform).SetState(s)
	}
}

// WaitReady waits until all entry instances are ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	client := d.Client(PlaceClients)
	defer client.CloseIdleConnections()
	for _, e := range d.Entries() {
		for !ready(ctx, client, e.Address) {
			if !sleepUntil(ctx, time.Now().Add(readyPoll)) {
				return fmt.Errorf("%w: %s: %w", ErrNotReady, e.ID, ctx.Err())
			}
		}
	}
	return nil
}

// Client returns an HTTP client at a place of the network.
func (d *Deployment) Client(place string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d.Network.Dial(place), MaxIdleConnsPerHost: maxIdlePerHost}}
}

// maxIdlePerHost is above the number of requests that the load tool has under way at one instance.
const maxIdlePerHost = 256

func ready(ctx context.Context, client *http.Client, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends everything at once and returns the errors of entry instances.
func (d *Deployment) Close() error {
	d.mu.Lock()
	instances := make([]*instance, 0, len(d.running))
	for _, in := range d.running {
		instances = append(instances, in)
	}
	d.mu.Unlock()
	for _, in := range instances {
		in.abort()
	}
	for _, in := range instances {
		<-in.done
		in.stop()
	}
	if d.platform != nil {
		_ = d.platform.Close()
	}
	d.Network.Close()
	d.Fleet.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Join(d.errs...)
}
