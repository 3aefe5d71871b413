package siblinggrpc

import (
	"iter"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

const (
	// minCachedElements is the number of elements of a difference from which its encoding is kept.
	minCachedElements = 64
	// maxCachedDifferences bounds the encodings that are kept: of the latest large changes, and of the whole routing.
	maxCachedDifferences = 4
)

// partCache encodes differences and keeps the encodings of the latest large ones: after a large change several siblings ask for it. It is
// safe for concurrent use.
type partCache struct {
	mu   sync.Mutex
	kept []cachedDifference // latest last
}

type cachedDifference struct {
	from, to document.Revision
	parts    []encodedPart
}

// encodedPart is an encoded part of a difference and the number of elements in it.
type encodedPart struct {
	text     []byte
	elements int
}

// encode returns the encoded parts of a difference. Others that ask for the same one meanwhile wait for them.
func (c *partCache) encode(d *document.RoutingDifference) ([]encodedPart, error) {
	if d.Elements() < minCachedElements {
		return encodeParts(d)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.kept {
		if k.from == d.From && k.to == d.To {
			return k.parts, nil
		}
	}
	parts, err := encodeParts(d)
	if err != nil {
		return nil, err
	}
	if len(c.kept) == maxCachedDifferences {
		c.kept = append(c.kept[:0], c.kept[1:]...)
	}
	c.kept = append(c.kept, cachedDifference{d.From, d.To, parts})
	return parts, nil
}

func encodeParts(d *document.RoutingDifference) ([]encodedPart, error) {
	var out []encodedPart
	for part, n := range encodeRoutingDifference(d) {
		text, err := proto.Marshal(part)
		if err != nil {
			return nil, err
		}
		out = append(out, encodedPart{text, n})
	}
	return out, nil
}

// encodeRoutingDifference iterates over the parts of a difference, in the order in which they apply, and the number of elements in
// each, at most maxMessageElements.
func encodeRoutingDifference(d *document.RoutingDifference) iter.Seq2[*siblingpb.RoutingDifference, int] {
	return func(yield func(*siblingpb.RoutingDifference, int) bool) {
		part := func() *siblingpb.RoutingDifference {
			return &siblingpb.RoutingDifference{From: uint64(d.From), To: uint64(d.To), Limits: encodeLimits(d.Limits)}
		}
		for p := range splitPieces(d.Routes) {
			x := part()
			x.Routes = []*siblingpb.RoutePiece{{From: uint32(p.From), Count: uint32(p.Count), Added: encodeList(p.Added, encodeRoute)}}
			if !yield(x, 1+len(p.Added)) {
				return
			}
		}
		for p := range splitPieces(d.Services) {
			x := part()
			x.Services = []*siblingpb.ServicePiece{{From: uint32(p.From), Count: uint32(p.Count), Added: encodeList(p.Added, encodeService)}}
			if !yield(x, 1+len(p.Added)) {
				return
			}
		}
		for p := range splitPieces(d.Accounts) {
			x := part()
			x.Accounts = []*siblingpb.AccountPiece{{From: uint32(p.From), Count: uint32(p.Count), Added: encodeList(p.Added, encodeAccount)}}
			if !yield(x, 1+len(p.Added)) {
				return
			}
		}
		yield(part(), 1) // the limits, also if there is nothing else
	}
}

// splitPieces iterates over the pieces, each split so that it adds fewer than maxMessageElements elements.
func splitPieces[T any](pieces []document.Piece[T]) iter.Seq[document.Piece[T]] {
	return func(yield func(document.Piece[T]) bool) {
		for _, p := range pieces {
			for len(p.Added) >= maxMessageElements {
				head := p
				head.Added = p.Added[:maxMessageElements-1]
				if !yield(head) {
					return
				}
				p = document.Piece[T]{Added: p.Added[maxMessageElements-1:]}
			}
			if !yield(p) {
				return
			}
		}
	}
}

func decodeRoutingDifference(text []byte) (document.RoutingDifference, error) {
	d := &siblingpb.RoutingDifference{}
	if err := proto.Unmarshal(text, d); err != nil {
		return document.RoutingDifference{}, err
	}
	out := document.RoutingDifference{From: document.Revision(d.GetFrom()), To: document.Revision(d.GetTo()), Limits: decodeLimits(d.GetLimits())}
	for _, p := range d.GetRoutes() {
		out.Routes = append(out.Routes, decodePiece(p, p.GetAdded(), decodeRoute))
	}
	for _, p := range d.GetServices() {
		out.Services = append(out.Services, decodePiece(p, p.GetAdded(), decodeService))
	}
	for _, p := range d.GetAccounts() {
		out.Accounts = append(out.Accounts, decodePiece(p, p.GetAdded(), decodeAccount))
	}
	return out, nil
}

func encodeList[T, M any](list []T, encode func(*T) M) []M {
	out := make([]M, 0, len(list))
	for i := range list {
		out = append(out, encode(&list[i]))
	}
	return out
}

// piece is the part that the encoded pieces of all lists have in common.
type piece interface {
	GetFrom() uint32
	GetCount() uint32
}

func decodePiece[T, M any](p piece, added []M, decode func(M) T) document.Piece[T] {
	out := document.Piece[T]{From: int(p.GetFrom()), Count: int(p.GetCount())}
	if len(added) > 0 {
		out.Added = make([]T, 0, len(added))
	}
	for _, m := range added {
		out.Added = append(out.Added, decode(m))
	}
	return out
}

func encodeRoute(r *document.Route) *siblingpb.Route {
	out := &siblingpb.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Shards: r.Shards, TopRecords: int64(r.TopRecords), MinCoverage: r.MinCoverage,
		Idempotent: r.Idempotent, MaxAttempts: int64(r.MaxAttempts), TimeoutNs: int64(r.Timeout), LatencyObjectiveNs: int64(r.LatencyObjective),
		Priority: int64(r.Priority), KeyOptional: r.KeyOptional, Regions: r.Regions,
	}
	for _, s := range r.Services {
		out.Services = append(out.Services, &siblingpb.WeightedService{Service: s.Service, Weight: s.Weight})
	}
	return out
}

func decodeRoute(r *siblingpb.Route) document.Route {
	out := document.Route{
		Name: r.GetName(), Host: r.GetHost(), Prefix: r.GetPrefix(), Shards: r.GetShards(), TopRecords: int(r.GetTopRecords()),
		MinCoverage: r.GetMinCoverage(), Idempotent: r.GetIdempotent(), MaxAttempts: int(r.GetMaxAttempts()), Timeout: time.Duration(r.GetTimeoutNs()),
		LatencyObjective: time.Duration(r.GetLatencyObjectiveNs()), Priority: int(r.GetPriority()), KeyOptional: r.GetKeyOptional(), Regions: r.GetRegions(),
	}
	for _, s := range r.GetServices() {
		out.Services = append(out.Services, document.WeightedService{Service: s.GetService(), Weight: s.GetWeight()})
	}
	return out
}

func encodeService(s *document.RoutedService) *siblingpb.RoutedService {
	return &siblingpb.RoutedService{
		Name: s.Name, HealthPath: s.HealthPath, MaxConnections: int64(s.MaxConnections), ColdRate: s.ColdRate, ColdTimeNs: int64(s.ColdTime),
	}
}

func decodeService(s *siblingpb.RoutedService) document.RoutedService {
	return document.RoutedService{
		Name: s.GetName(), HealthPath: s.GetHealthPath(), MaxConnections: int(s.GetMaxConnections()), ColdRate: s.GetColdRate(),
		ColdTime: time.Duration(s.GetColdTimeNs()),
	}
}

func encodeAccount(a *document.Account) *siblingpb.Account {
	out := &siblingpb.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Host: a.IsHost, Weight: a.Weight, Regions: a.Regions}
	if a.Priority != nil {
		priority := int64(*a.Priority)
		out.Priority = &priority
	}
	for _, k := range a.Keys {
		out.Keys = append(out.Keys, &siblingpb.AccountKey{Id: k.ID, Sha256: k.SHA256})
	}
	return out
}

func decodeAccount(a *siblingpb.Account) document.Account {
	out := document.Account{
		Organisation: document.Organisation{Name: a.GetName(), Rate: a.GetRate(), Burst: a.GetBurst(), IsHost: a.GetHost(), Weight: a.GetWeight()},
		Regions:      a.GetRegions(),
	}
	if a.Priority != nil {
		priority := int(a.GetPriority())
		out.Priority = &priority
	}
	for _, k := range a.GetKeys() {
		out.Keys = append(out.Keys, document.Key{ID: k.GetId(), SHA256: k.GetSha256()})
	}
	return out
}

func encodeLimits(l document.CallerLimits) *siblingpb.CallerLimits {
	return &siblingpb.CallerLimits{
		MaxHeaderBytes: int64(l.MaxHeaderBytes), MaxBodyBytes: int64(l.MaxBodyBytes),
		HeaderTimeoutNs: int64(l.HeaderTimeout), IdleTimeoutNs: int64(l.IdleTimeout),
	}
}

func decodeLimits(l *siblingpb.CallerLimits) document.CallerLimits {
	return document.CallerLimits{
		MaxHeaderBytes: int(l.GetMaxHeaderBytes()), MaxBodyBytes: int(l.GetMaxBodyBytes()),
		HeaderTimeout: time.Duration(l.GetHeaderTimeoutNs()), IdleTimeout: time.Duration(l.GetIdleTimeoutNs()),
	}
}
