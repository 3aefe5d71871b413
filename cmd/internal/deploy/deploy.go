// Package deploy runs a whole deployment in one process: emulated targets, an emulated platform, entry instances,
// and a network between zones with injectable faults. The demo, the load tool and integration tests use it.
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

// ErrNotReady is returned if an entry instance did not become ready before the context ended.
var ErrNotReady = errors.New("entry instance is not ready")

// ErrUnknownInstance is returned if the deployment has no entry instance with the ID.
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

// Options configures a deployment.
type Options struct {
	Zones []string
	// Instances is the number of entry instances, distributed round-robin over the zones.
	Instances     int
	Services      []standin.ServiceOptions
	Organisations []Organisation
	// ZoneDelay is the one-way delay between two zones, ClientDelay that between callers and any zone.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// KeyedLimit and ChangeWindow are set in the document; zero means one minute and ten minutes, respectively.
	KeyedLimit   time.Duration
	ChangeWindow time.Duration
	Seed         uint64
	// Adjust changes the settings of each entry instance before it starts. It may be nil.
	Adjust func(*settings.Settings)
	Log    zerolog.Logger
}

// Entry describes an entry instance of the deployment.
type Entry struct {
	ID, Zone string
	// Address serves callers, PeerAddress siblings and OperatorsAddress operators.
	Address, PeerAddress, OperatorsAddress string
}

// Deployment is a running deployment. Its methods are safe for concurrent use.
type Deployment struct {
	Fleet    *standin.Fleet
	Platform *standin.Platform
	Network  *Network

	options     Options
	platform    *http.Server
	platformURL string

	mu           sync.Mutex
	instances    map[string]*instance
	document     *document.Document
	instanceList *document.InstanceList
	leaving      map[string]bool // IDs of entry instances and targets that the list shows as leaving
	startedCount int             // entry instances started so far, for their IDs
	runErrors    []error
}

// instance is an entry instance of the deployment, running or ended but still listed.
type instance struct {
	entry    Entry
	node     *node.Node
	shutdown context.CancelFunc // starts a graceful shutdown
	abort    context.CancelFunc // ends the instance without a graceful shutdown
	done     chan struct{}      // closed when node.Run has returned
}

const (
	defaultKeyedLimit   = time.Minute
	defaultChangeWindow = 10 * time.Minute
	// drainNotice is longer than the balancer takes to stop sending requests to an unready instance.
	drainNotice       = 3 * readinessCheckInterval
	readyPollInterval = 20 * time.Millisecond
)

// Start starts the platform, the targets and the entry instances, and returns once all are running; WaitReady
// waits until they are ready. On an error, it closes what was started.
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
		Fleet: fleet, Platform: standin.NewPlatform(), options: o, instances: map[string]*instance{}, leaving: map[string]bool{},
		instanceList: &document.InstanceList{}, document: newDocument(o),
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
	if err := d.startPlatformAndEntries(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) startPlatformAndEntries() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.platformURL = "http://" + listener.Addr().String()
	d.Network.Register(listener.Addr().String(), PlacePlatform)
	d.platform = &http.Server{Handler: d.Platform, ReadHeaderTimeout: time.Second}
	go func() { _ = d.platform.Serve(listener) }()
	if err := d.Platform.PublishDocument(d.document); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.options.Instances {
		if _, err := d.startEntry(d.options.Zones[i%len(d.options.Zones)]); err != nil {
			return err
		}
	}
	return d.publishList()
}

// newDocument returns the first document: the organisations, services and zones of the options, with equal rate
// fractions for all zones.
func newDocument(o Options) *document.Document {
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

// startEntry starts an entry instance in the zone. The caller holds d.mu.
func (d *Deployment) startEntry(zone string) (Entry, error) {
	d.startedCount++
	s := settings.Default()
	s.ID, s.Zone, s.Platform = fmt.Sprintf("entry-%s-%d", zone, d.startedCount), zone, d.platformURL
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
	ctx, in.shutdown = context.WithCancel(context.Background())
	abort, in.abort = context.WithCancel(context.Background())
	for _, address := range []string{in.entry.Address, in.entry.PeerAddress} {
		d.Network.Register(address, zone)
	}
	d.instances[s.ID] = in
	go func() {
		defer close(in.done)
		if err := n.Run(ctx, abort); err != nil {
			d.mu.Lock()
			d.runErrors = append(d.runErrors, fmt.Errorf("%s: %w", s.ID, err))
			d.mu.Unlock()
		}
	}()
	return in.entry, nil
}

// publishList publishes the instance list: all targets and the entry instances that were not removed. The caller
// holds d.mu.
func (d *Deployment) publishList() error {
	list := &document.InstanceList{Revision: d.instanceList.Revision + 1}
	for _, in := range d.Fleet.Instances {
		in.State = d.stateOf(in.ID)
		list.Instances = append(list.Instances, in)
	}
	for _, e := range d.entries() {
		list.Instances = append(list.Instances, document.Instance{
			ID: e.ID, Kind: document.KindEntry, Zone: e.Zone, Address: e.Address, PeerAddress: e.PeerAddress, State: d.stateOf(e.ID),
		})
	}
	d.instanceList = list
	return d.Platform.PublishInstances(list)
}

func (d *Deployment) stateOf(id string) document.State {
	if d.leaving[id] {
		return document.StateLeaving
	}
	return document.StateLive
}

// entries is Entries for callers that hold d.mu.
func (d *Deployment) entries() []Entry {
	out := make([]Entry, 0, len(d.instances))
	for _, in := range d.instances {
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

// Entries returns the entry instances sorted by ID, including killed ones until Unlist.
func (d *Deployment) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries()
}

// Add starts an entry instance in the zone and publishes the instance list with it.
func (d *Deployment) Add(zone string) (Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, err := d.startEntry(zone)
	if err != nil {
		return Entry{}, err
	}
	return e, d.publishList()
}

// Stop lists an entry instance as leaving, shuts it down gracefully and removes it from the list.
func (d *Deployment) Stop(id string) error {
	d.mu.Lock()
	in := d.instances[id]
	if in == nil {
		d.mu.Unlock()
		return fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	d.leaving[id] = true
	err := d.publishList()
	d.mu.Unlock()
	in.shutdown()
	<-in.done
	return errors.Join(err, d.removeEntry(in))
}

// Kill ends an entry instance at once, without a graceful shutdown. It stays in the instance list until Unlist.
func (d *Deployment) Kill(id string) error {
	d.mu.Lock()
	in := d.instances[id]
	d.mu.Unlock()
	if in == nil {
		return fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	in.abort()
	<-in.done
	return nil
}

// Unlist removes an entry instance from the instance list. It waits until the instance has ended.
func (d *Deployment) Unlist(id string) error {
	d.mu.Lock()
	in := d.instances[id]
	d.mu.Unlock()
	if in == nil {
		return fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	<-in.done
	return d.removeEntry(in)
}

// removeEntry removes an ended entry instance and publishes the instance list without it.
func (d *Deployment) removeEntry(in *instance) error {
	in.shutdown()
	in.abort()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.instances, in.entry.ID)
	delete(d.leaving, in.entry.ID)
	return d.publishList()
}

// Replace shuts an entry instance down gracefully and starts a new one in the same zone.
func (d *Deployment) Replace(id string) (Entry, error) {
	d.mu.Lock()
	in := d.instances[id]
	d.mu.Unlock()
	if in == nil {
		return Entry{}, fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	if err := d.Stop(id); err != nil {
		return Entry{}, err
	}
	return d.Add(in.entry.Zone)
}

// SetLeaving lists a target as leaving, or as live again. While it is leaving, the target counts the requests that
// still arrive.
func (d *Deployment) SetLeaving(target string, leaving bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[target] = leaving
	if t := d.Fleet.Targets[target]; t != nil {
		t.SetOutOfService(leaving)
	}
	return d.publishList()
}

// Publish applies change to a copy of the document and publishes it with the next revision.
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

// SetZoneOutOfService takes a zone out of service or returns it to service. While it is out of service, its targets
// count the requests that still arrive.
func (d *Deployment) SetZoneOutOfService(zone string, outOfService bool) error {
	err := d.Publish(func(doc *document.Document) {
		for i := range doc.Zones {
			if doc.Zones[i].Name == zone {
				doc.Zones[i].OutOfService = outOfService
			}
		}
	})
	for _, t := range d.Fleet.Select("", "", zone) {
		t.SetOutOfService(outOfService)
	}
	return err
}

// WithdrawKeys removes all keys of an organisation from the document.
func (d *Deployment) WithdrawKeys(organisation string) error {
	return d.Publish(func(doc *document.Document) {
		for i := range doc.Organisations {
			if doc.Organisations[i].Name == organisation {
				doc.Organisations[i].Keys = nil
			}
		}
	})
}

// SetZoneLinks sets the state of the links between a zone and all other zones and, if includePlatform is set, of
// the link to the platform.
func (d *Deployment) SetZoneLinks(zone string, state LinkState, includePlatform bool) {
	for _, other := range d.options.Zones {
		if other != zone {
			d.Network.Link(zone, other).SetState(state)
		}
	}
	if includePlatform {
		d.Network.Link(zone, PlacePlatform).SetState(state)
	}
}

// WaitReady waits until all entry instances are ready. It returns ErrNotReady if ctx ends first.
func (d *Deployment) WaitReady(ctx context.Context) error {
	client := d.Client(PlaceClients)
	defer client.CloseIdleConnections()
	for _, e := range d.Entries() {
		for !isReady(ctx, client, e.Address) {
			if !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
				return fmt.Errorf("%w: %s: %w", ErrNotReady, e.ID, ctx.Err())
			}
		}
	}
	return nil
}

// Client returns an HTTP client that connects from a place of the network.
func (d *Deployment) Client(place string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d.Network.Dial(place), MaxIdleConnsPerHost: maxIdleConnsPerHost}}
}

// maxIdleConnsPerHost exceeds the number of requests that the load tool has in flight at one instance.
const maxIdleConnsPerHost = 256

// isReady reports whether the instance at the address replies to /ready with status 200 within one second.
func isReady(ctx context.Context, client *http.Client, address string) bool {
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

// Close stops all parts of the deployment at once, without a graceful shutdown, and returns the errors of the
// entry instances.
func (d *Deployment) Close() error {
	d.mu.Lock()
	instances := make([]*instance, 0, len(d.instances))
	for _, in := range d.instances {
		instances = append(instances, in)
	}
	d.mu.Unlock()
	for _, in := range instances {
		in.abort()
	}
	for _, in := range instances {
		<-in.done
		in.shutdown()
	}
	if d.platform != nil {
		_ = d.platform.Close()
	}
	d.Network.Close()
	d.Fleet.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Join(d.runErrors...)
}
