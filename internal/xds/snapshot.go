// Package xds implements the protocol state of the xDS server, version 3 of the transport protocol, through which other
// proxies receive kitewood's decisions. For each stream it tracks what the proxy subscribes to and what it was sent, and
// computes the next response. It uses neither sockets nor a clock.
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

// Type URLs of the supported resource types.
const (
	TypeListener = "type.googleapis.com/envoy.config.listener.v3.Listener"
	TypeRoute    = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	TypeCluster  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	TypeEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// updateOrder is the order in which updates are sent. A resource is sent after the resources that it refers to (make before
// break).
var updateOrder = []string{TypeCluster, TypeEndpoint, TypeListener, TypeRoute}

// Resource is one version of an xDS resource.
type Resource struct {
	Name    string
	Version string // derived from the content, so that two services with the same source agree
	// UrgentHash is a hash of the part whose changes must not be delayed: which endpoints accept new requests. A resource
	// whose UrgentHash has changed is sent at once; other changes concern weights and are batched.
	UrgentHash uint64
	Body       *anypb.Any
}

// NewResource returns a resource that contains m. Its version is a hash of the deterministic encoding of m.
func NewResource(name string, urgentHash uint64, m proto.Message) (*Resource, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("resource %q: %w", name, err)
	}
	return &Resource{Name: name, Version: strconv.FormatUint(xxhash.Sum64(encoded), 16), UrgentHash: urgentHash,
		Body: &anypb.Any{TypeUrl: "type.googleapis.com/" + string(m.ProtoReflect().Descriptor().FullName()), Value: encoded}}, nil
}

// Snapshot is the immutable set of all resources at one point in time.
type Snapshot struct {
	byType map[string]map[string]*Resource // by type URL and name
}

// NewSnapshot returns a snapshot of the given resources, keyed by type URL. It returns an error for an unsupported type and
// for two resources of one type with the same name.
func NewSnapshot(resources map[string][]*Resource) (*Snapshot, error) {
	s := &Snapshot{byType: map[string]map[string]*Resource{}}
	for _, typeURL := range updateOrder {
		s.byType[typeURL] = map[string]*Resource{}
	}
	for typeURL, list := range resources {
		byName, supported := s.byType[typeURL]
		if !supported {
			return nil, fmt.Errorf("unsupported resource type %q", typeURL)
		}
		for _, r := range list {
			if byName[r.Name] != nil {
				return nil, fmt.Errorf("%s: duplicate resource %q", typeURL, r.Name)
			}
			byName[r.Name] = r
		}
	}
	return s, nil
}

// Resource returns the named resource, or nil if there is none.
func (s *Snapshot) Resource(typeURL, name string) *Resource { return s.byType[typeURL][name] }

// Names returns the sorted names of the resources of a type.
func (s *Snapshot) Names(typeURL string) []string {
	names := make([]string, 0, len(s.byType[typeURL]))
	for name := range s.byType[typeURL] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// combinedVersion returns the version of a set of resources, which has to be sorted by name.
func combinedVersion(list []*Resource) string {
	digest := xxhash.New()
	var length [8]byte
	for _, r := range list {
		binary.LittleEndian.PutUint64(length[:], uint64(len(r.Name)))
		digest.Write(length[:])
		digest.WriteString(r.Name)
		digest.WriteString(r.Version)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}
