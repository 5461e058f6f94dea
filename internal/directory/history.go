// Package directory serves a pool's endpoint list to sidecars over the platform's discovery protocol: as a snapshot, or as a
// watch that reports changes.
package directory

import (
	"cmp"
	"maps"
	"slices"

	"kitewood/internal/protocol"
)

// maxChanges is the number of changes kept for sidecars that reconnect. A sidecar that missed more receives a snapshot.
const maxChanges = 1024

// tagBits is the size of the tag in an index. An index consists of a time in milliseconds, shifted left by tagBits, and the tag
// of this run of this service. It grows with the clock over restarts, and differs from the indexes of other services and runs,
// so that a sidecar that switches from another receives a snapshot. Until the year 2248 it stays below 2^53, up to which every
// JSON reader represents integers exactly.
const tagBits = 10

// change is one publication: its index and its encoded list of changed endpoints.
type change struct {
	index int64
	line  []byte
}

// History is an endpoint list with its most recent changes. It uses neither sockets nor a clock, and is not safe for concurrent
// use.
type History struct {
	tag        int64
	index      int64 // 0 before the first list
	firstIndex int64 // changes after this index are kept
	members    map[string]protocol.Endpoint
	changes    []change
	snapshot   []byte // encoded list at index; nil until it is needed
}

// NewHistory returns a History without a list. The tag distinguishes this run of this service from others.
func NewHistory(tag uint64) *History {
	return &History{tag: int64(tag % (1 << tagBits)), members: map[string]protocol.Endpoint{}}
}

// Publish applies the endpoints that changed at a Unix time in milliseconds and removes those that are gone. The first call
// gives the complete list.
func (h *History) Publish(nowMS int64, changed []protocol.Endpoint) error {
	index := max(nowMS, h.index>>tagBits+1)<<tagBits | h.tag
	line, err := protocol.EndpointList{Index: index, Snapshot: h.index == 0, Endpoints: changed}.Encode()
	if err != nil {
		return err
	}
	for _, endpoint := range changed {
		if endpoint.State == protocol.Gone {
			delete(h.members, endpoint.Name)
		} else {
			h.members[endpoint.Name] = endpoint
		}
	}
	if h.snapshot = nil; h.index == 0 {
		h.firstIndex, h.snapshot = index, line
	} else {
		if len(h.changes) == maxChanges {
			h.firstIndex = h.changes[0].index
			h.changes = slices.Delete(h.changes, 0, 1)
		}
		h.changes = append(h.changes, change{index, line})
	}
	h.index = index
	return nil
}

// Index is the version of the list, 0 before the first.
func (h *History) Index() int64 { return h.index }

// Snapshot returns the complete list, encoded as one line.
func (h *History) Snapshot() ([]byte, error) {
	if h.snapshot == nil {
		list := protocol.EndpointList{Index: h.index, Snapshot: true}
		list.Endpoints = slices.SortedFunc(maps.Values(h.members), func(a, b protocol.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
		var err error
		if h.snapshot, err = list.Encode(); err != nil {
			return nil, err
		}
	}
	return h.snapshot, nil
}

// Since returns the lines that update a list from an index to the current one: the changes if the index is one of this History
// and they are all kept, else a snapshot.
func (h *History) Since(index int64) ([][]byte, error) {
	if index != h.firstIndex {
		position, found := slices.BinarySearchFunc(h.changes, index, func(c change, i int64) int { return cmp.Compare(c.index, i) })
		if !found {
			line, err := h.Snapshot()
			return [][]byte{line}, err
		}
		return changeLines(h.changes[position+1:]), nil
	}
	return changeLines(h.changes), nil
}

// changeLines returns the encoded lines of changes.
func changeLines(changes []change) [][]byte {
	lines := make([][]byte, len(changes))
	for i, c := range changes {
		lines[i] = c.line
	}
	return lines
}
