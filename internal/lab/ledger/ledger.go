// Package ledger records what the emulated clients, instances and discovery of a run observed, by request ID and time, and
// checks the rules and measures the service from these entries alone. What a sidecar reports about itself is not used,
// except for its own invariant checks (OwnCheckFailed).
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

// Kind is the kind of event that an entry records.
type Kind string

// The kinds of entries.
const (
	RequestSent           Kind = "asked"    // a caller wrote the last byte of a request: the sidecar has received it
	RequestUnsent         Kind = "unasked"  // a caller's request that was never written completely
	Answered              Kind = "answered" // a caller received an answer
	TimedOut              Kind = "gave-up"  // no answer by the caller's deadline
	ConnectionBroken      Kind = "broken"   // the connection ended without a complete answer
	CallerGone            Kind = "left"     // the caller disappeared before the answer (its machine failed)
	CallerClosed          Kind = "quit"     // the caller closed its connection before its deadline
	ExtraBytes            Kind = "extra"    // bytes followed the answer to this request
	AttemptBegun          Kind = "begun"    // the first byte of an attempt reached an instance
	AttemptArrived        Kind = "arrived"  // the last byte of an attempt reached an instance
	AttemptEnded          Kind = "ended"    // the instance ended an attempt; Outcome says how
	AttemptClosed         Kind = "closed"   // the connection of an attempt ended
	ConnectionOpened      Kind = "opened"   // a new connection to an instance
	Probed                Kind = "probed"   // a probe at an instance
	DiscoveryCalled       Kind = "called"   // a sidecar called discovery
	Notified              Kind = "told"     // discovery wrote a change to a sidecar
	InstanceStarted       Kind = "life"     // an instance started; Capacity is set
	InstanceCrashed       Kind = "fell"     // an instance crashed under overload
	InstanceOverloaded    Kind = "choked"   // an instance became overloaded
	SidecarStarted        Kind = "up"       // a sidecar was started
	SidecarEnded          Kind = "down"     // the timeline ended a sidecar
	SidecarCrashed        Kind = "crashed"  // a sidecar exited on its own
	SidecarPaused         Kind = "stopped"  // the timeline paused a sidecar's process
	SidecarResumed        Kind = "resumed"  // the timeline resumed it
	DiscoveryPathCut      Kind = "deaf"     // a sidecar's network path to discovery was cut
	DiscoveryPathRestored Kind = "hears"    // the path was restored
	FaultInjected         Kind = "trouble"  // the timeline injected a fault; Note describes it
	DiscoveryOffline      Kind = "offline"  // discovery was taken offline
	DiscoveryOnline       Kind = "online"   // discovery came back
	OwnCheckFailed        Kind = "own"      // a sidecar's own invariant check reported a violation; Note is its log line
)

// Entry is one line of the ledger. Fields that do not apply to its kind are empty.
type Entry struct {
	At            time.Duration `json:"at"` // since the start of the run, in nanoseconds
	Kind          Kind          `json:"kind"`
	ID            string        `json:"id,omitempty"`     // X-Correlation-Id
	ClientRequest int           `json:"client,omitempty"` // number of the client request that a first-tier request belongs to, from 1
	Tier          int           `json:"tier"`
	Class         int           `json:"class"`
	Sidecar       string        `json:"sidecar,omitempty"`
	Instance      string        `json:"instance,omitempty"`
	AttemptID     uint64        `json:"copy,omitempty"` // unique for each attempt
	Status        int           `json:"status,omitempty"`
	Outcome       string        `json:"outcome,omitempty"` // of AttemptEnded: served, failed, turned, reset; of Notified: the status
	Work          float64       `json:"work,omitempty"`    // core-seconds
	MeanWork      float64       `json:"mean,omitempty"`    // of AttemptArrived: the mean work of a request of its class, in core-seconds
	Deadline      time.Duration `json:"deadline,omitempty"`
	Since         time.Duration `json:"since,omitempty"` // of InstanceStarted and Notified: which start of the instance; of RequestSent: the intended time
	Capacity      float64       `json:"capacity,omitempty"`
	ParentAttempt uint64        `json:"parent,omitempty"` // of RequestSent and RequestUnsent by an instance: the attempt that it makes the call for
	Retry         bool          `json:"repeat,omitempty"`
	Note          string        `json:"note,omitempty"`
}

// Recorder collects entries. It is safe for concurrent use; entries are sorted when they are read.
type Recorder struct {
	mu      sync.Mutex
	entries []Entry
	created time.Time
	offset  atomic.Int64 // from created to the start of the run, in nanoseconds
}

// NewRecorder returns a recorder whose times count from now.
func NewRecorder() *Recorder { return &Recorder{created: time.Now()} }

// Start returns the start of the run.
func (r *Recorder) Start() time.Time { return r.created.Add(time.Duration(r.offset.Load())) }

// Now returns the time since the start of the run.
func (r *Recorder) Now() time.Duration { return time.Since(r.Start()) }

// Add appends an entry, stamped with the current time if it has none.
func (r *Recorder) Add(e Entry) {
	if e.At == 0 {
		e.At = r.Now()
	}
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
}

// Entries returns the entries so far, in order of time.
func (r *Recorder) Entries() []Entry {
	r.mu.Lock()
	out := slices.Clone(r.entries)
	r.mu.Unlock()
	slices.SortStableFunc(out, func(a, b Entry) int { return int(a.At - b.At) })
	return out
}

// Write writes entries as JSON lines.
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

// Read reads entries in the format of Write.
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

// ResetStart makes the current time the start of the run. Entries recorded earlier move to its very beginning and keep
// their order.
func (r *Recorder) ResetStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offset.Store(int64(time.Since(r.created)))
	for i := range r.entries {
		r.entries[i].At = 1
	}
}
