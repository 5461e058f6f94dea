// Package wire decodes and encodes the simulator's binary protocol: batches of events, replies with actions, and the
// settings of an instance. The names of that protocol are confined to this package; other packages use those of package
// balance.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"kitewood/balance"
)

// Sizes in bytes and limits of the simulator's protocol.
const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	entrySize       = 22
	maxBatchSize    = 1 << 30
	maxLists        = 16
	allPeersCode    = 0xffff // recipient code for all peers
)

// Kind is the type of an Event.
type Kind uint8

// The kinds of events, with their codes on the wire. The comments give the simulator's names.
const (
	InstanceStarted  Kind = iota + 1 // start: an instance begins to run
	EndpointsUpdated                 // peers_known: an endpoint list, or the failure to get one
	ClientGone                       // gone: the client no longer waits for a request
	TimerFired                       // due: the delay of a schedule action has passed
	StreamStarted                    // ack_first: the first part of a streamed response has arrived
	ProbeDone                        // probe_done: the outcome of a probe
	PeerMessage                      // mail: a message from another instance
	RequestArrived                   // demand: a client has sent a request
	AttemptDone                      // answer: the outcome of an attempt
	ListDefined                      // catalog: the contents of a numbered endpoint list, for later EndpointsUpdated events
	InstanceExited                   // exit: an instance has stopped
)

// Event is one record of a batch. Only the fields that belong to its Kind are set. Slices are valid until the next call of
// Reader.Event.
type Event struct {
	Kind     Kind
	Instance int

	Seed      uint64                 // InstanceStarted
	Settings  []byte                 // InstanceStarted
	ListKind  balance.ListKind       // EndpointsUpdated
	Endpoints []balance.Endpoint     // EndpointsUpdated
	Request   balance.Request        // RequestArrived
	Outcome   balance.Outcome        // AttemptDone, StreamStarted, ProbeDone: only the fields that the record contains
	Token     uint64                 // TimerFired
	From      int                    // PeerMessage
	Data      []byte                 // PeerMessage
	loads     [math.MaxUint8]float32 // backing array of Outcome.Load
}

// Reader decodes batches of events.
type Reader struct {
	in        io.Reader
	buf       []byte
	pos       int // offset of the next record in buf
	remaining int // records of the batch not yet read
	count     int // records of the batch
	batch     int // number of the batch, from 1
	lists     [maxLists][]balance.Endpoint
	known     [maxLists]bool // which lists have been defined
}

// NewReader returns a Reader that reads batches from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: r} }

// Batch reads the next batch and returns its clock time. At the end of the input it returns io.EOF.
func (r *Reader) Batch() (time.Duration, error) {
	r.batch++
	if cap(r.buf) < batchHeaderSize {
		r.buf = make([]byte, 64<<10)
	}
	r.buf = r.buf[:batchHeaderSize]
	if n, err := io.ReadFull(r.in, r.buf); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch %d: truncated header: %d of %d bytes", r.batch, n, batchHeaderSize)
	}
	size, count := binary.LittleEndian.Uint32(r.buf), binary.LittleEndian.Uint32(r.buf[4:])
	clock := decodeSeconds(binary.LittleEndian.Uint64(r.buf[8:]))
	switch {
	case size < batchHeaderSize || size > maxBatchSize:
		return 0, fmt.Errorf("batch %d: impossible length of %d bytes", r.batch, size)
	case uint64(count)*3 > uint64(size-batchHeaderSize): // the shortest record has 3 bytes
		return 0, fmt.Errorf("batch %d: %d records do not fit into %d bytes", r.batch, count, size)
	}
	// The buffer grows as data arrives, not by the length declared in the header.
	for missing := int(size) - batchHeaderSize; missing > 0; {
		piece := min(missing, 1<<20)
		filled := len(r.buf)
		if cap(r.buf) < filled+piece {
			grown := make([]byte, filled, max(2*cap(r.buf), filled+piece))
			copy(grown, r.buf)
			r.buf = grown
		}
		r.buf = r.buf[:filled+piece]
		if n, err := io.ReadFull(r.in, r.buf[filled:]); err != nil {
			return 0, fmt.Errorf("batch %d: truncated: %d of %d bytes", r.batch, filled+n, size)
		}
		missing -= piece
	}
	r.pos, r.remaining, r.count = batchHeaderSize, int(count), int(count)
	return clock, nil
}

// Event decodes the next record of the batch into e. It returns false after the last record.
func (r *Reader) Event(e *Event) (bool, error) {
	if r.remaining == 0 {
		if r.pos != len(r.buf) {
			return false, fmt.Errorf("batch %d: %d bytes after the last record", r.batch, len(r.buf)-r.pos)
		}
		return false, nil
	}
	d := decoder{buf: r.buf, pos: r.pos}
	e.Kind = Kind(d.u8())
	if e.Kind == ListDefined {
		if err := r.defineList(&d); err != nil {
			return false, r.wrap(err)
		}
	} else {
		e.Instance = int(d.u16())
		if err := r.decodeEvent(e, &d); err != nil {
			return false, r.wrap(err)
		}
	}
	if d.truncated {
		return false, r.wrap(fmt.Errorf("code %d: record cut off by the end of the batch", e.Kind))
	}
	r.pos = d.pos
	r.remaining--
	return true, nil
}

// wrap adds the position of the current record to an error.
func (r *Reader) wrap(err error) error {
	return fmt.Errorf("batch %d, record %d at byte %d: %w", r.batch, r.count-r.remaining, r.pos, err)
}

// defineList decodes a numbered endpoint list.
func (r *Reader) defineList(d *decoder) error {
	n := int(d.u16())
	if n >= maxLists && !d.truncated {
		return fmt.Errorf("list number %d exceeds %d", n, maxLists-1)
	}
	data := d.items(d.u32(), entrySize)
	if d.truncated {
		return nil // Event returns the error
	}
	// Earlier events may still refer to the list that had this number before, so a new slice is allocated.
	list := make([]balance.Endpoint, len(data)/entrySize)
	for i := range list {
		item := decoder{buf: data, pos: i * entrySize}
		endpoint := &list[i]
		endpoint.ID = balance.EndpointID(item.u32())
		endpoint.Zone, endpoint.Kind, endpoint.Cell = int(item.u16()), int(item.u8()), int(item.u16())
		endpoint.State = balance.State(item.u8())
		endpoint.Units, endpoint.ReadyAt = float64(item.f32()), decodeSeconds(item.u64())
		if endpoint.State > balance.Draining {
			return fmt.Errorf("list %d, entry %d: unknown readiness %d", n, i, endpoint.State)
		}
		if !(endpoint.Units >= 0) || math.IsInf(endpoint.Units, 0) {
			endpoint.Units = 0
		}
	}
	r.lists[n], r.known[n] = list, true
	return nil
}

// decodeEvent decodes the fields of a record after its kind and instance.
func (r *Reader) decodeEvent(e *Event, d *decoder) error {
	o := &e.Outcome
	switch e.Kind {
	case InstanceStarted:
		e.Seed = d.u64()
		e.Settings = d.items(d.u32(), 1)
	case EndpointsUpdated:
		listKind := d.u8()
		d.u32() // version; ignored, as changes arrive in order
		n := d.u16()
		if listKind > uint8(balance.Failed) {
			return fmt.Errorf("unknown list kind %d", listKind)
		}
		e.ListKind, e.Endpoints = balance.ListKind(listKind), nil
		if e.ListKind == balance.Failed || d.truncated {
			return nil
		}
		if n >= maxLists || !r.known[n] {
			return fmt.Errorf("unknown list number %d", n)
		}
		e.Endpoints = r.lists[n]
	case ClientGone:
		e.Request.ID = balance.RequestID(d.u32())
	case TimerFired:
		e.Token = d.u64()
	case StreamStarted:
		o.ID, o.Endpoint = balance.RequestID(d.u32()), balance.EndpointID(d.u32())
		o.Attempt, o.Latency = int(d.u16()), decodeSeconds(d.u64())
	case ProbeDone:
		o.Endpoint = balance.EndpointID(d.u32())
		o.Status, o.Latency = balance.Status(d.u8()), decodeSeconds(d.u64())
		return decodeLoadReport(e, d)
	case PeerMessage:
		e.From = int(d.u16())
		e.Data = d.items(uint32(d.u16()), 1)
	case RequestArrived:
		request := &e.Request
		request.ID, request.Class, request.Tenant = balance.RequestID(d.u32()), int(d.u16()), int(d.u32())
		request.Key, request.Deadline = d.u64(), decodeSeconds(d.u64())
		request.CostHint = math.Float64frombits(d.u64())
		flags := d.u16()
		if flags&1 == 0 || !(request.CostHint > 0) || math.IsInf(request.CostHint, 0) {
			request.CostHint = 0
		}
		request.ClientRetry = flags&2 != 0
	case AttemptDone:
		o.ID, o.Final = balance.RequestID(d.u32()), d.u8() != 0
		o.Attempt, o.Endpoint = int(d.u16()), balance.EndpointID(d.u32())
		o.Latency, o.Status = decodeSeconds(d.u64()), balance.Status(d.u8())
		return decodeLoadReport(e, d)
	case InstanceExited:
	default:
		return fmt.Errorf("unknown event code %d", e.Kind)
	}
	return nil
}

// decodeLoadReport decodes the load report at the end of a record and checks the outcome code that precedes it.
func decodeLoadReport(e *Event, d *decoder) error {
	n := int(d.u8())
	for i := range n {
		e.loads[i] = d.f32()
	}
	e.Outcome.Load = e.loads[:n]
	if status := e.Outcome.Status; !d.truncated && (status < balance.OK || status > balance.NotSent) {
		return fmt.Errorf("unknown outcome %d", status)
	}
	return nil
}

// decoder decodes little-endian values. Past the end of buf it sets truncated and returns zeros.
type decoder struct {
	buf       []byte
	pos       int
	truncated bool
}

// next returns the next n bytes.
func (d *decoder) next(n int) []byte {
	if d.truncated || len(d.buf)-d.pos < n {
		d.truncated = true
		return make([]byte, n)[:n:n]
	}
	d.pos += n
	return d.buf[d.pos-n : d.pos]
}

// items returns the bytes of count items of the given size.
func (d *decoder) items(count uint32, size int) []byte {
	if d.truncated || uint64(count)*uint64(size) > uint64(len(d.buf)-d.pos) {
		d.truncated = true
		return nil
	}
	return d.next(int(count) * size)
}

func (d *decoder) u8() uint8    { return d.next(1)[0] }
func (d *decoder) u16() uint16  { return binary.LittleEndian.Uint16(d.next(2)) }
func (d *decoder) u32() uint32  { return binary.LittleEndian.Uint32(d.next(4)) }
func (d *decoder) u64() uint64  { return binary.LittleEndian.Uint64(d.next(8)) }
func (d *decoder) f32() float32 { return math.Float32frombits(d.u32()) }

// decodeSeconds converts the bits of a float64 in seconds to a Duration, rounded to microseconds, the simulator's resolution.
func decodeSeconds(bits uint64) time.Duration {
	const limit = float64(math.MaxInt64/4) / 1e9
	value := math.Float64frombits(bits)
	if math.IsNaN(value) {
		return 0
	}
	return time.Duration(math.Round(min(max(value, -limit), limit)*1e6)) * time.Microsecond
}

// Writer encodes the actions of one reply.
type Writer struct {
	buf   []byte
	count uint32
}

// Reset starts a new reply.
func (w *Writer) Reset() {
	w.buf = append(w.buf[:0], make([]byte, replyHeaderSize)...)
	w.count = 0
}

// Bytes completes the reply and returns its encoding, which is valid until Reset.
func (w *Writer) Bytes() []byte {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)))
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	return w.buf
}

// Instance is a balance.Host that writes the actions of one instance of the decision module to a reply.
type Instance struct {
	*Writer
	ID int
}

// beginAction starts the record of an action.
func (i *Instance) beginAction(code uint8) {
	i.count++
	i.buf = binary.LittleEndian.AppendUint16(append(i.buf, code), uint16(i.ID))
}

func (i *Instance) u32(v uint32) { i.buf = binary.LittleEndian.AppendUint32(i.buf, v) }
func (i *Instance) u16(v int)    { i.buf = binary.LittleEndian.AppendUint16(i.buf, uint16(v)) }
func (i *Instance) u64(v uint64) { i.buf = binary.LittleEndian.AppendUint64(i.buf, v) }
func (i *Instance) duration(d time.Duration) {
	i.u64(math.Float64bits(d.Seconds()))
}

// payload writes data with its length, cut to maxSize bytes.
func (i *Instance) payload(data []byte, maxSize int) {
	data = data[:min(len(data), maxSize)]
	i.u16(len(data))
	i.buf = append(i.buf, data...)
}

// CloseIdle writes a hang_up action, which closes the idle connections to an endpoint.
func (i *Instance) CloseIdle(endpoint balance.EndpointID) { i.beginAction(1); i.u32(uint32(endpoint)) }

// Fail writes a fail action, which ends a request that may have run.
func (i *Instance) Fail(id balance.RequestID, _ balance.Reason) { i.beginAction(2); i.u32(uint32(id)) }

// Fetch writes a lookup action, which asks for the endpoint list.
func (i *Instance) Fetch() { i.beginAction(3) }

// Cancel writes a recall action, which cancels an attempt.
func (i *Instance) Cancel(id balance.RequestID, attempt int) {
	i.beginAction(4)
	i.u32(uint32(id))
	i.u16(attempt)
}

// Send writes a send action, which sends an attempt of a request to an endpoint.
func (i *Instance) Send(id balance.RequestID, endpoint balance.EndpointID, timeout time.Duration) {
	i.beginAction(5)
	i.u32(uint32(id))
	i.u32(uint32(endpoint))
	i.duration(timeout)
}

// Log writes a log action.
func (i *Instance) Log(text string) { i.beginAction(6); i.payload([]byte(text), 1<<16-1) }

// Watch writes a track action, which subscribes to the endpoint list.
func (i *Instance) Watch() { i.beginAction(7); i.buf = append(i.buf, 1) }

// StartTimer writes a schedule action, which fires a timer event with the token after the delay.
func (i *Instance) StartTimer(delay time.Duration, token uint64) {
	i.beginAction(8)
	i.duration(delay)
	i.u64(token)
}

// Reject writes a say_no action, which ends a request that has not run, so that a retry is safe.
func (i *Instance) Reject(id balance.RequestID, retryAfter time.Duration, _ balance.Reason) {
	i.beginAction(9)
	i.u32(uint32(id))
	i.duration(retryAfter)
}

// SendToPeer writes a publish action, which sends a message to one peer or to all.
func (i *Instance) SendToPeer(peer int, data []byte) {
	i.beginAction(11)
	if peer == balance.AllPeers {
		peer = allPeersCode
	}
	i.u16(peer)
	i.payload(data, 256)
}

// Probe writes a probe action, which probes an endpoint.
func (i *Instance) Probe(endpoint balance.EndpointID) { i.beginAction(12); i.u32(uint32(endpoint)) }
