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
	batchHeader = 16
	replyHeader = 8
	entrySize   = 22
	maxFrame    = 1 << 30
	lists       = 16
	allPeers    = 0xffff
)

// Kind tells what an Event holds.
type Kind uint8

// The kinds of events, as coded.
const (
	Start Kind = iota + 1
	PeersKnown
	Gone
	Due
	AckFirst
	ProbeDone
	Mail
	Demand
	Answer
	Catalog
	Exit
)

// Event is one record of a batch. Only the fields of its Kind are set; slices are valid until the next Event call.
type Event struct {
	Kind     Kind
	Instance int

	Seed     uint64                 // Start
	Settings []byte                 // Start
	List     balance.ListKind       // PeersKnown
	Servers  []balance.Endpoint     // PeersKnown
	Request  balance.Request        // Demand
	Outcome  balance.Outcome        // Answer, AckFirst, ProbeDone: those fields that they have
	Token    uint64                 // Due
	From     int                    // Mail
	Data     []byte                 // Mail
	loads    [math.MaxUint8]float32 // backs Outcome.Load
}

// Reader reads batches.
type Reader struct {
	in    io.Reader
	buf   []byte
	at    int // next byte of buf
	left  int // records not yet read
	count int
	batch int
	lists [lists][]balance.Endpoint
	known [lists]bool
}

// NewReader returns a Reader of the batches in r.
func NewReader(r io.Reader) *Reader { return &Reader{in: r} }

// Batch reads the next batch and returns its clock. At the end of the input it returns io.EOF.
func (r *Reader) Batch() (time.Duration, error) {
	r.batch++
	if cap(r.buf) < batchHeader {
		r.buf = make([]byte, 64<<10)
	}
	r.buf = r.buf[:batchHeader]
	if n, err := io.ReadFull(r.in, r.buf); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch %d: truncated header: %d of %d bytes", r.batch, n, batchHeader)
	}
	size, count := binary.LittleEndian.Uint32(r.buf), binary.LittleEndian.Uint32(r.buf[4:])
	clock := seconds(binary.LittleEndian.Uint64(r.buf[8:]))
	switch {
	case size < batchHeader || size > maxFrame:
		return 0, fmt.Errorf("batch %d: impossible length of %d bytes", r.batch, size)
	case uint64(count)*3 > uint64(size-batchHeader): // no record is shorter
		return 0, fmt.Errorf("batch %d: %d records do not fit into %d bytes", r.batch, count, size)
	}
	// The buffer grows with what arrives, not with what a header promises.
	for want := int(size) - batchHeader; want > 0; {
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
	r.at, r.left, r.count = batchHeader, int(count), int(count)
	return clock, nil
}

// Event reads the next record of the batch into e. It returns false after the last one.
func (r *Reader) Event(e *Event) (bool, error) {
	if r.left == 0 {
		if r.at != len(r.buf) {
			return false, fmt.Errorf("batch %d: %d bytes after the last record", r.batch, len(r.buf)-r.at)
		}
		return false, nil
	}
	f := fields{buf: r.buf, at: r.at}
	e.Kind = Kind(f.u8())
	if e.Kind == Catalog {
		if err := r.catalog(&f); err != nil {
			return false, r.wrap(err)
		}
	} else {
		e.Instance = int(f.u16())
		if err := r.fields(e, &f); err != nil {
			return false, r.wrap(err)
		}
	}
	if f.short {
		return false, r.wrap(fmt.Errorf("code %d: record cut off by the end of the batch", e.Kind))
	}
	r.at = f.at
	r.left--
	return true, nil
}

func (r *Reader) wrap(err error) error {
	return fmt.Errorf("batch %d, record %d at byte %d: %w", r.batch, r.count-r.left, r.at, err)
}

func (r *Reader) catalog(f *fields) error {
	n := int(f.u16())
	if n >= lists && !f.short {
		return fmt.Errorf("list number %d is over %d", n, lists-1)
	}
	data := f.take(f.u32(), entrySize)
	if f.short {
		return nil // Event reports it
	}
	// A batch may still refer to the list that had this number before: it gets a list of its own.
	list := make([]balance.Endpoint, len(data)/entrySize)
	for i := range list {
		g := fields{buf: data, at: i * entrySize}
		s := &list[i]
		s.ID = balance.EndpointID(g.u32())
		s.Zone, s.Kind, s.Cell = int(g.u16()), int(g.u8()), int(g.u16())
		s.State = balance.State(g.u8())
		s.Units, s.ReadyAt = float64(g.f32()), seconds(g.u64())
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

func (r *Reader) fields(e *Event, f *fields) error {
	o := &e.Outcome
	switch e.Kind {
	case Start:
		e.Seed = f.u64()
		e.Settings = f.take(f.u32(), 1)
	case PeersKnown:
		how := f.u8()
		f.u32() // version: changes come in order
		n := f.u16()
		if how > uint8(balance.Failed) {
			return fmt.Errorf("unknown list kind %d", how)
		}
		e.List, e.Servers = balance.ListKind(how), nil
		if e.List == balance.Failed || f.short {
			return nil
		}
		if n >= lists || !r.known[n] {
			return fmt.Errorf("unknown list number %d", n)
		}
		e.Servers = r.lists[n]
	case Gone:
		e.Request.ID = balance.RequestID(f.u32())
	case Due:
		e.Token = f.u64()
	case AckFirst:
		o.ID, o.Endpoint = balance.RequestID(f.u32()), balance.EndpointID(f.u32())
		o.Attempt, o.Latency = int(f.u16()), seconds(f.u64())
	case ProbeDone:
		o.Endpoint = balance.EndpointID(f.u32())
		o.Status, o.Latency = balance.Status(f.u8()), seconds(f.u64())
		return load(e, f)
	case Mail:
		e.From = int(f.u16())
		e.Data = f.take(uint32(f.u16()), 1)
	case Demand:
		q := &e.Request
		q.ID, q.Class, q.Tenant = balance.RequestID(f.u32()), int(f.u16()), int(f.u32())
		q.Key, q.Deadline = f.u64(), seconds(f.u64())
		q.CostHint = math.Float64frombits(f.u64())
		flags := f.u16()
		if flags&1 == 0 || !(q.CostHint > 0) || math.IsInf(q.CostHint, 0) {
			q.CostHint = 0
		}
		q.ClientRetry = flags&2 != 0
	case Answer:
		o.ID, o.Final = balance.RequestID(f.u32()), f.u8() != 0
		o.Attempt, o.Endpoint = int(f.u16()), balance.EndpointID(f.u32())
		o.Latency, o.Status = seconds(f.u64()), balance.Status(f.u8())
		return load(e, f)
	case Exit:
	default:
		return fmt.Errorf("unknown event code %d", e.Kind)
	}
	return nil
}

// load reads a load report and checks the outcome code before it.
func load(e *Event, f *fields) error {
	n := int(f.u8())
	for i := range n {
		e.loads[i] = f.f32()
	}
	e.Outcome.Load = e.loads[:n]
	if s := e.Outcome.Status; !f.short && (s < balance.OK || s > balance.NotSent) {
		return fmt.Errorf("unknown outcome %d", s)
	}
	return nil
}

// fields reads little-endian values; past the end it sets short and gives zeros.
type fields struct {
	buf   []byte
	at    int
	short bool
}

func (f *fields) next(n int) []byte {
	if f.short || len(f.buf)-f.at < n {
		f.short = true
		return make([]byte, n)[:n:n]
	}
	f.at += n
	return f.buf[f.at-n : f.at]
}

// take returns count items of size bytes each.
func (f *fields) take(count uint32, size int) []byte {
	if f.short || uint64(count)*uint64(size) > uint64(len(f.buf)-f.at) {
		f.short = true
		return nil
	}
	return f.next(int(count) * size)
}

func (f *fields) u8() uint8    { return f.next(1)[0] }
func (f *fields) u16() uint16  { return binary.LittleEndian.Uint16(f.next(2)) }
func (f *fields) u32() uint32  { return binary.LittleEndian.Uint32(f.next(4)) }
func (f *fields) u64() uint64  { return binary.LittleEndian.Uint64(f.next(8)) }
func (f *fields) f32() float32 { return math.Float32frombits(f.u32()) }

// seconds turns an f64 in seconds into a Duration. The simulator counts in microseconds.
func seconds(bits uint64) time.Duration {
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
	w.buf = append(w.buf[:0], make([]byte, replyHeader)...)
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
	Who int
}

func (i *Instance) record(code uint8) {
	i.count++
	i.buf = binary.LittleEndian.AppendUint16(append(i.buf, code), uint16(i.Who))
}

func (i *Instance) u32(v uint32) { i.buf = binary.LittleEndian.AppendUint32(i.buf, v) }
func (i *Instance) u16(v int)    { i.buf = binary.LittleEndian.AppendUint16(i.buf, uint16(v)) }
func (i *Instance) u64(v uint64) { i.buf = binary.LittleEndian.AppendUint64(i.buf, v) }
func (i *Instance) span(d time.Duration) {
	i.u64(math.Float64bits(d.Seconds()))
}

func (i *Instance) bytes(data []byte, most int) {
	data = data[:min(len(data), most)]
	i.u16(len(data))
	i.buf = append(i.buf, data...)
}

// Close writes hang_up.
func (i *Instance) CloseIdle(server balance.EndpointID) { i.record(1); i.u32(uint32(server)) }

// Fail writes fail.
func (i *Instance) Fail(id balance.RequestID, _ balance.Reason) { i.record(2); i.u32(uint32(id)) }

// Fetch writes lookup.
func (i *Instance) Fetch() { i.record(3) }

// Cancel writes recall.
func (i *Instance) Cancel(id balance.RequestID, attempt int) {
	i.record(4)
	i.u32(uint32(id))
	i.u16(attempt)
}

// Send writes send.
func (i *Instance) Send(id balance.RequestID, server balance.EndpointID, timeout time.Duration) {
	i.record(5)
	i.u32(uint32(id))
	i.u32(uint32(server))
	i.span(timeout)
}

// Log writes log.
func (i *Instance) Log(text string) { i.record(6); i.bytes([]byte(text), 1<<16-1) }

// Watch writes track.
func (i *Instance) Watch() { i.record(7); i.buf = append(i.buf, 1) }

// Timer writes schedule.
func (i *Instance) StartTimer(delay time.Duration, token uint64) {
	i.record(8)
	i.span(delay)
	i.u64(token)
}

// Refuse writes say_no.
func (i *Instance) Reject(id balance.RequestID, retryAfter time.Duration, _ balance.Reason) {
	i.record(9)
	i.u32(uint32(id))
	i.span(retryAfter)
}

// Tell writes publish.
func (i *Instance) SendToPeer(peer int, data []byte) {
	i.record(11)
	if peer == balance.AllPeers {
		peer = allPeers
	}
	i.u16(peer)
	i.bytes(data, 256)
}

// Probe writes probe.
func (i *Instance) Probe(server balance.EndpointID) { i.record(12); i.u32(uint32(server)) }
