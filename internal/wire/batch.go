// Package wire reads and writes the simulator's binary frames and its settings. The names of that dialect occur
// here and nowhere else; the rest of the project speaks the words of package balance.
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

const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	entrySize       = 22
	maxBatchSize    = 1 << 30
	maxLists        = 16
	allPeersCode    = 0xffff
)

// Kind tells what an Event holds.
type Kind uint8

// The kinds of events, as coded.
const (
	InstanceStarted Kind = iota + 1
	EndpointsUpdated
	ClientGone
	TimerFired
	StreamStarted
	ProbeDone
	PeerMessage
	RequestArrived
	AttemptDone
	ListDefined
	InstanceExited
)

// Event is one record of a batch. Only the fields of its Kind are set; slices are valid until the next Event call.
type Event struct {
	Kind     Kind
	Instance int

	Seed      uint64                 // Start
	Settings  []byte                 // Start
	ListKind  balance.ListKind       // PeersKnown
	Endpoints []balance.Server       // PeersKnown
	Request   balance.Request        // Demand
	Outcome   balance.Outcome        // Answer, AckFirst, ProbeDone: those fields that they have
	Token     uint64                 // Due
	From      int                    // Mail
	Data      []byte                 // Mail
	loads     [math.MaxUint8]float32 // backs Outcome.Load
}

// Reader reads batches.
type Reader struct {
	in        io.Reader
	buf       []byte
	pos       int // next byte of buf
	remaining int // records not yet read
	count     int
	batch     int
	lists     [maxLists][]balance.Server
	known     [maxLists]bool
}

// NewReader returns a Reader of the batches in r.
func NewReader(r io.Reader) *Reader { return &Reader{in: r} }

// Batch reads the next batch and returns its clock. At the end of the input it returns io.EOF.
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
	case uint64(count)*3 > uint64(size-batchHeaderSize): // no record is shorter
		return 0, fmt.Errorf("batch %d: %d records do not fit into %d bytes", r.batch, count, size)
	}
	// The buffer grows with what arrives, not with what a header promises.
	for want := int(size) - batchHeaderSize; want > 0; {
		part := min(want, 1<<20)
		from := len(r.buf)
		if cap(r.buf) < from+part {
			grown := make([]byte, from, max(2*cap(r.buf), from+part))
			copy(grown, r.buf)
			r.buf = grown
		}
		r.buf = r.buf[:from+part]
		if n, err := io.ReadFull(r.in, r.buf[from:]); err != nil {
			return 0, fmt.Errorf("batch %d: truncated: %d of %d bytes", r.batch, from+n, size)
		}
		want -= part
	}
	r.pos, r.remaining, r.count = batchHeaderSize, int(count), int(count)
	return clock, nil
}

// Event reads the next record of the batch into e. It returns false after the last one.
func (r *Reader) Event(e *Event) (bool, error) {
	if r.remaining == 0 {
		if r.pos != len(r.buf) {
			return false, fmt.Errorf("batch %d: %d bytes after the last record", r.batch, len(r.buf)-r.pos)
		}
		return false, nil
	}
	f := decoder{buf: r.buf, pos: r.pos}
	e.Kind = Kind(f.u8())
	if e.Kind == ListDefined {
		if err := r.defineList(&f); err != nil {
			return false, r.wrap(err)
		}
	} else {
		e.Instance = int(f.u16())
		if err := r.decodeEvent(e, &f); err != nil {
			return false, r.wrap(err)
		}
	}
	if f.truncated {
		return false, r.wrap(fmt.Errorf("code %d: record cut off by the end of the batch", e.Kind))
	}
	r.pos = f.pos
	r.remaining--
	return true, nil
}

func (r *Reader) wrap(err error) error {
	return fmt.Errorf("batch %d, record %d at byte %d: %w", r.batch, r.count-r.remaining, r.pos, err)
}

func (r *Reader) defineList(f *decoder) error {
	n := int(f.u16())
	if n >= maxLists && !f.truncated {
		return fmt.Errorf("list number %d is over %d", n, maxLists-1)
	}
	data := f.items(f.u32(), entrySize)
	if f.truncated {
		return nil // Event reports it
	}
	// A batch may still refer to the list that had this number before: it gets a list of its own.
	list := make([]balance.Server, len(data)/entrySize)
	for i := range list {
		g := decoder{buf: data, pos: i * entrySize}
		s := &list[i]
		s.ID = balance.ServerID(g.u32())
		s.Zone, s.Kind, s.Cell = int(g.u16()), int(g.u8()), int(g.u16())
		s.State = balance.State(g.u8())
		s.Units, s.ReadyAt = float64(g.f32()), decodeSeconds(g.u64())
		if s.State > balance.Draining {
			return fmt.Errorf("list %d, entry %d: unknown readiness %d", n, i, s.State)
		}
		if !(s.Units >= 0) || math.IsInf(s.Units, 0) {
			s.Units = 0
		}
	}
	r.lists[n], r.known[n] = list, true
	return nil
}

func (r *Reader) decodeEvent(e *Event, f *decoder) error {
	o := &e.Outcome
	switch e.Kind {
	case InstanceStarted:
		e.Seed = f.u64()
		e.Settings = f.items(f.u32(), 1)
	case EndpointsUpdated:
		how := f.u8()
		f.u32() // version: changes come in order
		n := f.u16()
		if how > uint8(balance.Failed) {
			return fmt.Errorf("unknown list kind %d", how)
		}
		e.ListKind, e.Endpoints = balance.ListKind(how), nil
		if e.ListKind == balance.Failed || f.truncated {
			return nil
		}
		if n >= maxLists || !r.known[n] {
			return fmt.Errorf("unknown list number %d", n)
		}
		e.Endpoints = r.lists[n]
	case ClientGone:
		e.Request.ID = balance.RequestID(f.u32())
	case TimerFired:
		e.Token = f.u64()
	case StreamStarted:
		o.ID, o.Server = balance.RequestID(f.u32()), balance.ServerID(f.u32())
		o.Attempt, o.Latency = int(f.u16()), decodeSeconds(f.u64())
	case ProbeDone:
		o.Server = balance.ServerID(f.u32())
		o.Status, o.Latency = balance.Status(f.u8()), decodeSeconds(f.u64())
		return decodeLoadReport(e, f)
	case PeerMessage:
		e.From = int(f.u16())
		e.Data = f.items(uint32(f.u16()), 1)
	case RequestArrived:
		q := &e.Request
		q.ID, q.Class, q.Tenant = balance.RequestID(f.u32()), int(f.u16()), int(f.u32())
		q.Key, q.Deadline = f.u64(), decodeSeconds(f.u64())
		q.Hint = math.Float64frombits(f.u64())
		flags := f.u16()
		if flags&1 == 0 || !(q.Hint > 0) || math.IsInf(q.Hint, 0) {
			q.Hint = 0
		}
		q.Repeat = flags&2 != 0
	case AttemptDone:
		o.ID, o.Closed = balance.RequestID(f.u32()), f.u8() != 0
		o.Attempt, o.Server = int(f.u16()), balance.ServerID(f.u32())
		o.Latency, o.Status = decodeSeconds(f.u64()), balance.Status(f.u8())
		return decodeLoadReport(e, f)
	case InstanceExited:
	default:
		return fmt.Errorf("unknown event code %d", e.Kind)
	}
	return nil
}

// load reads a load report and checks the outcome code before it.
func decodeLoadReport(e *Event, f *decoder) error {
	n := int(f.u8())
	for i := range n {
		e.loads[i] = f.f32()
	}
	e.Outcome.Load = e.loads[:n]
	if s := e.Outcome.Status; !f.truncated && (s < balance.OK || s > balance.Moot) {
		return fmt.Errorf("unknown outcome %d", s)
	}
	return nil
}

// fields reads little-endian values; past the end it sets short and gives zeros.
type decoder struct {
	buf       []byte
	pos       int
	truncated bool
}

func (f *decoder) next(n int) []byte {
	if f.truncated || len(f.buf)-f.pos < n {
		f.truncated = true
		return make([]byte, n)[:n:n]
	}
	f.pos += n
	return f.buf[f.pos-n : f.pos]
}

// take returns count items of size bytes each.
func (f *decoder) items(count uint32, size int) []byte {
	if f.truncated || uint64(count)*uint64(size) > uint64(len(f.buf)-f.pos) {
		f.truncated = true
		return nil
	}
	return f.next(int(count) * size)
}

func (f *decoder) u8() uint8    { return f.next(1)[0] }
func (f *decoder) u16() uint16  { return binary.LittleEndian.Uint16(f.next(2)) }
func (f *decoder) u32() uint32  { return binary.LittleEndian.Uint32(f.next(4)) }
func (f *decoder) u64() uint64  { return binary.LittleEndian.Uint64(f.next(8)) }
func (f *decoder) f32() float32 { return math.Float32frombits(f.u32()) }

// seconds turns an f64 in seconds into a Duration. The simulator counts in microseconds.
func decodeSeconds(bits uint64) time.Duration {
	const limit = float64(math.MaxInt64/4) / 1e9
	s := math.Float64frombits(bits)
	if math.IsNaN(s) {
		return 0
	}
	return time.Duration(math.Round(min(max(s, -limit), limit)*1e6)) * time.Microsecond
}

// Writer collects the actions of one reply.
type Writer struct {
	buf   []byte
	count uint32
}

// Reset starts a new reply.
func (w *Writer) Reset() {
	w.buf = append(w.buf[:0], make([]byte, replyHeaderSize)...)
	w.count = 0
}

// Bytes closes the reply and returns its frame, valid until Reset.
func (w *Writer) Bytes() []byte {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)))
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	return w.buf
}

// Instance is a balance.Host that writes the actions of one instance.
type Instance struct {
	*Writer
	ID int
}

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

func (i *Instance) payload(data []byte, most int) {
	data = data[:min(len(data), most)]
	i.u16(len(data))
	i.buf = append(i.buf, data...)
}

// Close writes hang_up.
func (i *Instance) Close(server balance.ServerID) { i.beginAction(1); i.u32(uint32(server)) }

// Fail writes fail.
func (i *Instance) Fail(id balance.RequestID, _ balance.Reason) { i.beginAction(2); i.u32(uint32(id)) }

// Fetch writes lookup.
func (i *Instance) Fetch() { i.beginAction(3) }

// Cancel writes recall.
func (i *Instance) Cancel(id balance.RequestID, attempt int) {
	i.beginAction(4)
	i.u32(uint32(id))
	i.u16(attempt)
}

// Send writes send.
func (i *Instance) Send(id balance.RequestID, server balance.ServerID, timeout time.Duration) {
	i.beginAction(5)
	i.u32(uint32(id))
	i.u32(uint32(server))
	i.duration(timeout)
}

// Log writes log.
func (i *Instance) Log(text string) { i.beginAction(6); i.payload([]byte(text), 1<<16-1) }

// Watch writes track.
func (i *Instance) Watch() { i.beginAction(7); i.buf = append(i.buf, 1) }

// Timer writes schedule.
func (i *Instance) Timer(delay time.Duration, token uint64) {
	i.beginAction(8)
	i.duration(delay)
	i.u64(token)
}

// Refuse writes say_no.
func (i *Instance) Refuse(id balance.RequestID, retryAfter time.Duration, _ balance.Reason) {
	i.beginAction(9)
	i.u32(uint32(id))
	i.duration(retryAfter)
}

// Tell writes publish.
func (i *Instance) Tell(peer int, data []byte) {
	i.beginAction(11)
	if peer == balance.AllPeers {
		peer = allPeersCode
	}
	i.u16(peer)
	i.payload(data, 256)
}

// Probe writes probe.
func (i *Instance) Probe(server balance.ServerID) { i.beginAction(12); i.u32(uint32(server)) }
