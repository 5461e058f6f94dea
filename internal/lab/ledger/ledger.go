// Package ledger holds what reached the stand-ins of a run, by operation id and time, and judges the rules and the
// service from that alone. What a program says of itself does not count here.
package ledger

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what an entry tells.
type Kind string

// The kinds of entries.
const (
	RequestSent           Kind = "asked"    // a caller's try, its last byte written: the sidecar has taken it
	RequestUnsent         Kind = "unasked"  // a caller's try that was never written whole
	Answered              Kind = "answered" // an answer that a caller got
	TimedOut              Kind = "gave-up"  // no answer until the caller's deadline
	ConnectionBroken      Kind = "broken"   // the connection ended without a whole answer
	CallerGone            Kind = "left"     // the caller was gone before (its machine died)
	CallerClosed          Kind = "quit"     // the caller closed its connection before its time was over
	ExtraBytes            Kind = "extra"    // bytes came behind the answer of this operation
	AttemptBegun          Kind = "begun"    // the first byte of an attempt reached an instance
	AttemptArrived        Kind = "arrived"  // its last byte did
	AttemptEnded          Kind = "ended"    // the instance ended it; Outcome tells how
	AttemptClosed         Kind = "closed"   // its connection ended
	ConnectionOpened      Kind = "opened"   // a new connection to an instance
	Probed                Kind = "probed"   // a probe at an instance
	DiscoveryCalled       Kind = "called"   // a sidecar asked discovery
	Notified              Kind = "told"     // discovery has written a change to a sidecar
	InstanceStarted       Kind = "life"     // an instance started; its capacity stands here
	InstanceCrashed       Kind = "fell"     // an instance was pushed over
	InstanceOverloaded    Kind = "choked"   // an instance was overdriven
	SidecarStarted        Kind = "up"       // a sidecar was started
	SidecarEnded          Kind = "down"     // a sidecar was ended by the timeline
	SidecarCrashed        Kind = "crashed"  // a sidecar ended by itself
	SidecarPaused         Kind = "stopped"  // the timeline had a sidecar stand still
	SidecarResumed        Kind = "resumed"  // and go on
	DiscoveryPathCut      Kind = "deaf"     // a sidecar's path to discovery was broken
	DiscoveryPathRestored Kind = "hears"    // and let go
	FaultInjected         Kind = "trouble"  // the timeline did something; Note tells
	DiscoveryOffline      Kind = "offline"  // discovery was taken off
	DiscoveryOnline       Kind = "online"   // and came back
	OwnCheckFailed        Kind = "own"      // a sidecar's own check counted a violation; Note is its line
)

// Entry is one line of the ledger. Fields that a kind has no use for are empty.
type Entry struct {
	At            time.Duration `json:"at"` // since the start of the run, in nanoseconds
	Kind          Kind          `json:"kind"`
	ID            string        `json:"id,omitempty"`     // X-Correlation-Id
	ClientRequest int           `json:"client,omitempty"` // the piece of business that a first-tier try belongs to, from 1
	Tier          int           `json:"tier"`
	Class         int           `json:"class"`
	Sidecar       string        `json:"sidecar,omitempty"`
	Instance      string        `json:"instance,omitempty"`
	AttemptID     uint64        `json:"copy,omitempty"` // the attempt; no two share it
	Status        int           `json:"status,omitempty"`
	Outcome       string        `json:"outcome,omitempty"` // of Ended: served, failed, turned, reset; of Told: the status
	Work          float64       `json:"work,omitempty"`    // core-seconds
	MeanWork      float64       `json:"mean,omitempty"`    // of Arrived: the work of a mean request of its class
	Deadline      time.Duration `json:"deadline,omitempty"`
	Since         time.Duration `json:"since,omitempty"` // of Life and Told: the start that is meant
	Capacity      float64       `json:"capacity,omitempty"`
	ParentAttempt uint64        `json:"parent,omitempty"` // of Asked and Unasked by an instance: the attempt that it makes the call for
	Retry         bool          `json:"repeat,omitempty"`
	Note          string        `json:"note,omitempty"`
}

// Book collects entries. It may be written to from anywhere; the order is made at the end.
type Recorder struct {
	mu      sync.Mutex
	entries []Entry
	made    time.Time
	offset  atomic.Int64 // from made to the start of the run, in nanoseconds
}

// NewBook starts a book whose times count from now.
func NewRecorder() *Recorder { return &Recorder{made: time.Now()} }

// Start is the start of the run.
func (b *Recorder) Start() time.Time { return b.made.Add(time.Duration(b.offset.Load())) }

// Now is the time since the start of the run.
func (b *Recorder) Now() time.Duration { return time.Since(b.Start()) }

// Add writes an entry, at the present time if it has none.
func (b *Recorder) Add(e Entry) {
	if e.At == 0 {
		e.At = b.Now()
	}
	b.mu.Lock()
	b.entries = append(b.entries, e)
	b.mu.Unlock()
}

// Entries are the entries so far, in order of time.
func (b *Recorder) Entries() []Entry {
	b.mu.Lock()
	out := slices.Clone(b.entries)
	b.mu.Unlock()
	slices.SortStableFunc(out, func(a, c Entry) int { return int(a.At - c.At) })
	return out
}

// Write puts entries out as JSON lines.
func Write(w io.Writer, entries []Entry) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	for i := range entries {
		if err := enc.Encode(&entries[i]); err != nil {
			return err
		}
	}
	return buf.Flush()
}

// Read takes entries as Write puts them out.
func Read(r io.Reader) ([]Entry, error) {
	var out []Entry
	for dec := json.NewDecoder(r); ; {
		var e Entry
		if err := dec.Decode(&e); err == io.EOF {
			return out, nil
		} else if err != nil {
			return out, err
		}
		out = append(out, e)
	}
}

// Rebase makes now the start of the times. What was entered before stands at the very beginning, in its order.
func (b *Recorder) ResetStart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offset.Store(int64(time.Since(b.made)))
	for i := range b.entries {
		b.entries[i].At = 1
	}
}
