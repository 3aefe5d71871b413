package document

// Kind tells entry instances from target instances.
type Kind string

// The kinds of instance in the platform's list.
const (
	KindEntry  Kind = "entry"
	KindTarget Kind = "target"
)

// State is what the platform says of an instance. It lags.
type State string

// The states of an instance in the platform's list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one entry of the platform's list.
type Instance struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Service is the service of a target; empty for an entry instance.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone"`
	// Address is host:port for requests of callers (entry) or instances (target).
	Address string `json:"address"`
	// PeerAddress is host:port for siblings; empty for a target.
	PeerAddress string `json:"peer_address,omitempty"`
	State       State  `json:"state"`
}

// InstanceList is the platform's list of live and leaving instances. It is immutable.
type InstanceList struct {
	Revision  Revision   `json:"revision"`
	Instances []Instance `json:"instances"`
}

// EntryInstances returns the entry instances, leaving ones included.
func (l *InstanceList) EntryInstances() []Instance { return l.ofKind(KindEntry) }

// TargetInstances returns the target instances, leaving ones included.
func (l *InstanceList) TargetInstances() []Instance { return l.ofKind(KindTarget) }

func (l *InstanceList) ofKind(k Kind) []Instance {
	var out []Instance
	for _, i := range l.Instances {
		if i.Kind == k {
			out = append(out, i)
		}
	}
	return out
}
