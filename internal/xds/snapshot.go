// Package xds is the core of the discovery service that hands kitewood's decisions to other proxies, by the xDS transport
// protocol, version 3: what a stream has asked for, what it was sent, and what it is to be sent next. It knows no socket
// and no clock.
package xds

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// The type URLs of the resources that are served.
const (
	TypeListener = "type.googleapis.com/envoy.config.listener.v3.Listener"
	TypeRoute    = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	TypeCluster  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	TypeEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// order is that in which updates go out, so that whatever a resource names is there before it: make before break.
var order = []string{TypeCluster, TypeEndpoint, TypeListener, TypeRoute}

// Resource is one resource at one version.
type Resource struct {
	Name    string
	Version string // follows from the content, so that two services over one source agree
	// Safety is a hash of the part that must not wait: which endpoints take new requests. A resource whose safety has
	// changed goes out at once; other changes are weights, which are gathered.
	UrgentHash uint64
	Body       *anypb.Any
}

// NewResource packs a message. Its version is a hash of its deterministic encoding.
func NewResource(name string, safety uint64, m proto.Message) (*Resource, error) {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("resource %q: %w", name, err)
	}
	return &Resource{Name: name, Version: strconv.FormatUint(xxhash.Sum64(text), 16), UrgentHash: safety,
		Body: &anypb.Any{TypeUrl: "type.googleapis.com/" + string(m.ProtoReflect().Descriptor().FullName()), Value: text}}, nil
}

// Snapshot is all resources at a moment. It never changes.
type Snapshot struct {
	types map[string]map[string]*Resource // by type URL and name
}

// NewSnapshot returns a snapshot of resources by type URL. Names are unique within a type.
func NewSnapshot(all map[string][]*Resource) (*Snapshot, error) {
	s := &Snapshot{types: map[string]map[string]*Resource{}}
	for _, t := range order {
		s.types[t] = map[string]*Resource{}
	}
	for t, list := range all {
		byName, served := s.types[t]
		if !served {
			return nil, fmt.Errorf("type %q is not served", t)
		}
		for _, r := range list {
			if byName[r.Name] != nil {
				return nil, fmt.Errorf("%s %q stands twice", t, r.Name)
			}
			byName[r.Name] = r
		}
	}
	return s, nil
}

// Resource finds a resource, nil if there is none.
func (s *Snapshot) Resource(typeURL, name string) *Resource { return s.types[typeURL][name] }

// Names are the resources of a type, sorted.
func (s *Snapshot) Names(typeURL string) []string {
	out := make([]string, 0, len(s.types[typeURL]))
	for name := range s.types[typeURL] {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// versionOf is the version of a set of resources, sorted by name.
func versionOf(list []*Resource) string {
	d := xxhash.New()
	var n [8]byte
	for _, r := range list {
		binary.LittleEndian.PutUint64(n[:], uint64(len(r.Name)))
		d.Write(n[:])
		d.WriteString(r.Name)
		d.WriteString(r.Version)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}
