package document

// Kind distinguishes entry instances from targets.
type Kind string

// The kinds of instances in the platform's list.
const (
	// KindEntry is an instance of this system, which accepts requests from callers.
	KindEntry Kind = "entry"
	// KindTarget is a server that runs the requests of one service.
	KindTarget Kind = "target"
)

// State is the lifecycle state of an instance in the platform's list. It lags behind the instance's real state.
type State string

// The lifecycle states in the platform's list.
const (
	StateLive State = "live"
	// StateLeaving instances are shutting down and get no new work.
	StateLeaving State = "leaving"
)

// Instance is one entry of the platform's list.
type Instance struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Service is the name of the service that a target belongs to; empty for an entry instance.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone"`
	// Address is the IP address and port for requests: from callers to an entry instance, from entry instances to a
	// target.
	Address string `json:"address"`
	// PeerAddress is the IP address and port on which an entry instance accepts connections from its siblings; empty
	// for a target.
	PeerAddress string `json:"peer_address,omitempty"`
	State       State  `json:"state"`
}

// InstanceList is the platform's list of live and leaving instances. It is immutable.
type InstanceList struct {
	Revision  Revision   `json:"revision"`
	Instances []Instance `json:"instances"`
}

// EntryInstances returns the entry instances, including those that are leaving.
func (l *InstanceList) EntryInstances() []Instance { return l.ofKind(KindEntry) }

// TargetInstances returns the targets, including those that are leaving.
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
