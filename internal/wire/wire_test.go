package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"kitewood/balance"
)

// frame builds a batch from records in hexadecimal digits; spaces are for the reader.
func frame(t testing.TB, clock float64, records ...string) []byte {
	t.Helper()
	var body []byte
	for _, r := range records {
		b, err := hex.DecodeString(strings.ReplaceAll(r, " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		body = append(body, b...)
	}
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)+batchHeader))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(clock))
	return append(out, body...)
}

func read(t testing.TB, in []byte) (Event, error) {
	t.Helper()
	r := NewReader(bytes.NewReader(in))
	var e Event
	if _, err := r.Batch(); err != nil {
		return e, err
	}
	for {
		more, err := r.Event(&e)
		if err != nil || !more {
			return e, err
		}
	}
}

func TestEvents(t *testing.T) {
	const catalog = "0a 0000 02000000  01000000 0200 03 0400 01 0000803f 000000000000f03f " +
		"02000000 0000 00 0000 02 0000c07f 0000000000000000"
	for name, c := range map[string]struct {
		records []string
		ok      func(*Event) bool
	}{
		"demand": {[]string{"08 0300 c4913a5d 0100 02000000 640ad2557c3bf091 0000000000000840 000000000000e03f 0300"},
			func(e *Event) bool {
				q := e.Request
				return e.Kind == Demand && e.Instance == 3 && q.ID == 0x5d3a91c4 && q.Class == 1 && q.Tenant == 2 &&
					q.Deadline == 3*time.Second && q.CostHint == 0.5 && q.ClientRetry
			}},
		"demand without a valid hint": {[]string{"08 0300 c4913a5d 0100 00000000 0000000000000000 0000000000000840 000000000000e03f 0000"},
			func(e *Event) bool { return e.Request.CostHint == 0 && !e.Request.ClientRetry }},
		"answer": {[]string{"09 0300 c4913a5d 01 0200 074a1203 000000000000e03f 04 02 0000803f 0000c07f"},
			func(e *Event) bool {
				o := e.Outcome
				return o.Final && o.Attempt == 2 && o.Endpoint == 0x03124a07 && o.Latency == 500*time.Millisecond &&
					o.Status == balance.Timeout && len(o.Load) == 2 && o.Load[0] == 1
			}},
		"probe":       {[]string{"06 0300 074a1203 000000000000e03f 01 00"}, nil}, // fields in the wrong order
		"probe_done":  {[]string{"06 0300 074a1203 01 000000000000e03f 00"}, func(e *Event) bool { return e.Outcome.Status == balance.OK }},
		"due":         {[]string{"04 0300 4d00000000000000"}, func(e *Event) bool { return e.Token == 77 }},
		"gone":        {[]string{"03 0500 192b6f0e"}, func(e *Event) bool { return e.Request.ID == 0x0e6f2b19 }},
		"mail":        {[]string{"07 0300 0900 0200 6869"}, func(e *Event) bool { return e.From == 9 && string(e.Data) == "hi" }},
		"ack_first":   {[]string{"05 0300 01000000 02000000 0100 000000000000e03f"}, func(e *Event) bool { return e.Outcome.Attempt == 1 }},
		"start":       {[]string{"01 0300 0700000000000000 02000000 7b7d"}, func(e *Event) bool { return e.Seed == 7 && string(e.Settings) == "{}" }},
		"exit":        {[]string{"0b 0300"}, func(e *Event) bool { return e.Kind == Exit }},
		"failed list": {[]string{"02 0300 03 29000000 0900"}, func(e *Event) bool { return e.List == balance.Failed && e.Servers == nil }},
		"list": {[]string{catalog, "02 0300 02 29000000 0000"}, func(e *Event) bool {
			s := e.Servers[0]
			return len(e.Servers) == 2 && s == balance.Endpoint{ID: 1, Zone: 2, Kind: 3, Cell: 4, State: balance.Ready,
				Units: 1, ReadyAt: time.Second} && e.Servers[1].Units == 0
		}},
		"list number used again": {[]string{catalog, "0a 0000 00000000", "02 0300 01 29000000 0000"},
			func(e *Event) bool { return len(e.Servers) == 0 && e.List == balance.Full }},
	} {
		e, err := read(t, frame(t, 1, c.records...))
		if c.ok == nil {
			if err == nil {
				t.Errorf("%s: no error", name)
			}
		} else if err != nil || !c.ok(&e) {
			t.Errorf("%s: %+v, %v", name, e, err)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	good := frame(t, 1, "04 0300 4d00000000000000")
	short := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(short, 8)
	huge := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(huge, 1<<29)
	many := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(many[4:], 1<<31)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"header":             {good[:9], "truncated header"},
		"body":               {good[:20], "truncated: 20 of 27 bytes"},
		"length too small":   {short, "impossible length"},
		"length too large":   {huge, "truncated"},
		"count":              {many, "do not fit"},
		"unknown code":       {frame(t, 1, "63 0000"), "record 0 at byte 16: unknown event code 99"},
		"unknown list":       {frame(t, 1, "02 0300 02 29000000 0000"), "unknown list number 0"},
		"list number":        {frame(t, 1, "0a 1000 00000000"), "over 15"},
		"list count":         {frame(t, 1, "0a 0000 ffffffff"), "cut off"},
		"readiness":          {frame(t, 1, "0a 0000 01000000 01000000 0000 00 0000 09 0000803f 0000000000000000"), "readiness 9"},
		"list kind":          {frame(t, 1, "02 0300 07 29000000 0000"), "unknown list kind"},
		"outcome":            {frame(t, 1, "09 0300 c4913a5d 01 0000 074a1203 000000000000e03f 0c 00"), "unknown outcome 12"},
		"record cut off":     {frame(t, 1, "04 0300 4d00"), "cut off"},
		"settings too long":  {frame(t, 1, "01 0300 0700000000000000 ffffff7f 7b7d"), "cut off"},
		"report too long":    {frame(t, 1, "06 0300 074a1203 01 000000000000e03f 09 00000000"), "cut off"},
		"records after them": {frame(t, 1, "0b 0300 0b"), "after the last record"},
	} {
		_, err := read(t, c.in)
		if c.want == "" {
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, c.want)
		}
	}
	if _, err := NewReader(bytes.NewReader(nil)).Batch(); err != io.EOF {
		t.Errorf("empty input: %v, want EOF", err)
	}
}

// A header that promises much must not make the reader allocate it.
func TestNoHugeAllocation(t *testing.T) {
	huge := frame(t, 1)
	binary.LittleEndian.PutUint32(huge, maxFrame)
	r := NewReader(bytes.NewReader(huge))
	if _, err := r.Batch(); err == nil {
		t.Fatal("no error")
	}
	if cap(r.buf) > 4<<20 {
		t.Errorf("%d bytes allocated for a frame of 16", cap(r.buf))
	}
}

func TestReply(t *testing.T) {
	var w Writer
	w.Reset()
	i := &Instance{Writer: &w, Who: 3}
	i.Send(0x5d3a91c4, 0x03124a07, 80*time.Millisecond)
	i.StartTimer(500*time.Millisecond, 77)
	i.SendToPeer(balance.AllPeers, []byte("hi 7"))
	i.Log("two servers known")
	i.CloseIdle(1)
	i.Fail(2, balance.TooLate)
	i.Fetch()
	i.Cancel(2, 1)
	i.Watch()
	i.Reject(2, 0, balance.Shed)
	i.Probe(9)
	want := "05 0300 c4913a5d 074a1203 7b14ae47e17ab43f 08 0300 000000000000e03f 4d00000000000000 " +
		"0b 0300 ffff 0400 68692037 06 0300 1100 74776f2073657276657273206b6e6f776e 01 0300 01000000 02 0300 02000000 " +
		"03 0300 04 0300 02000000 0100 07 0300 01 09 0300 02000000 0000000000000000 0c 0300 09000000"
	got := w.Bytes()
	if s := strings.ReplaceAll(want, " ", ""); hex.EncodeToString(got[8:]) != s {
		t.Errorf("records\n%x, want\n%s", got[8:], s)
	}
	if binary.LittleEndian.Uint32(got) != uint32(len(got)) || binary.LittleEndian.Uint32(got[4:]) != 11 {
		t.Errorf("header %x", got[:8])
	}
	w.Reset()
	if got := hex.EncodeToString(w.Bytes()); got != "0800000000000000" {
		t.Errorf("empty reply %s", got)
	}
}

const someFacts = `{"registryMode": "ask", "permissions": {"sendCap": 5, "cancel": true, "maxRetryAfterS": 2},
 "invariants": {"coldS": 8.2, "coldShare": 0.32, "overloadFactor": 3, "tipAfterS": 2, "stopSendingWithinS": 0.25},
 "profiles": [{"aimS": 1.2, "giveUpS": 3, "points": 2, "repeat": "keyed", "group": "cell", "windowS": 5, "new": {}}],
 "projects": [{"portion": 0.4, "quotaPerS": 101}], "telemetry": {"fields": ["lat_ms", "busy", "x0"], "via": "inline"},
 "peersTotal": 10, "me": 4, "tier": 1, "weights": "nominal", "unknown": [1, 2]}`

func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(someFacts), 9)
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if s.Seed != 9 || s.Index != 4 || s.Balancers != 10 || !s.PollDiscovery || !s.UnitsAreCapacity || s.Limits.MaxAttempts != 5 ||
		c.LatencyTarget != 1200*time.Millisecond || c.Effect != balance.Keyed || c.DedupScope != balance.ScopeCell ||
		s.Rules.DrainGrace != 250*time.Millisecond || s.Tenants[0].Quota != 101 || s.Report.Source != balance.OnResponses ||
		s.Report.Fields[1] != balance.Util || s.Report.Fields[2] != balance.OtherField {
		t.Errorf("%+v", s)
	}
	for want, text := range map[string]string{
		"settings: ":                   "not JSON",
		"profiles are missing":         "{}",
		"permissions are missing":      strings.Replace(someFacts, "permissions", "p", 1),
		"invariants are missing":       strings.Replace(someFacts, "invariants", "i", 1),
		"registryMode \"\" is neither": strings.Replace(someFacts, "registryMode", "r", 1),
		"unknown repeat":               strings.Replace(someFacts, "keyed", "maybe", 1),
		"unknown telemetry.via":        strings.Replace(someFacts, "inline", "mail", 1),
	} {
		if _, err := ParseSettings([]byte(text), 0); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(frame(f, 1, "04 0300 4d00000000000000"))
	f.Add(frame(f, 1, "0a 0000 01000000 01000000 0000 00 0000 01 0000803f 0000000000000000", "02 0300 01 29000000 0000"))
	f.Add(frame(f, math.NaN(), "09 0300 c4913a5d 01 0200 074a1203 000000000000e03f 04 02 0000803f 0000c07f"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		var e Event
		for {
			if _, err := r.Batch(); err != nil {
				return
			}
			for {
				more, err := r.Event(&e)
				if err != nil {
					return
				}
				if !more {
					break
				}
			}
		}
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(someFacts))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := ParseSettings(text, 1); err == nil && len(s.Classes) == 0 {
			t.Error("settings without classes and without an error")
		}
	})
}

// Decoding must not allocate for each record.
func TestDecodingAllocatesLittle(t *testing.T) {
	in := frame(t, 1, strings.Split(strings.Repeat("09 0300 c4913a5d 01 0200 074a1203 000000000000e03f 04 01 0000803f;", 999)+
		"0b 0300", ";")...)
	r := NewReader(nil)
	var e Event
	if n := testing.AllocsPerRun(10, func() {
		r.in = bytes.NewReader(in)
		if _, err := r.Batch(); err != nil {
			t.Fatal(err)
		}
		for more := true; more; {
			var err error
			if more, err = r.Event(&e); err != nil {
				t.Fatal(err)
			}
		}
	}); n > 20 {
		t.Errorf("%.0f allocations for 1000 records", n)
	}
}
