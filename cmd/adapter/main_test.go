package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settingsText = `{"registryMode": "push", "permissions": {"sendCap": 3}, "invariants": {},
 "profiles": [{"aimS": 1, "giveUpS": 2, "points": 1, "repeat": "safe"}], "peersTotal": 1}`

// record is the encoding of one event, built up value by value.
type record []byte

// newRecord returns the start of a record for an instance.
func newRecord(code uint8, instance uint16) record {
	return binary.LittleEndian.AppendUint16([]byte{code}, instance)
}
func (r record) u8(v uint8) record   { return append(r, v) }
func (r record) u16(v uint16) record { return binary.LittleEndian.AppendUint16(r, v) }
func (r record) u32(v uint32) record { return binary.LittleEndian.AppendUint32(r, v) }
func (r record) u64(v uint64) record { return binary.LittleEndian.AppendUint64(r, v) }
func (r record) f64(v float64) record {
	return r.u64(math.Float64bits(v))
}

// startRecord is an event that starts an instance with the given settings.
func startRecord(instance uint16, text string) record {
	return append(newRecord(1, instance).u64(5).u32(uint32(len(text))), text...)
}

// requestRecord is the arrival of a request.
func requestRecord(instance uint16, id uint32) record {
	return newRecord(8, instance).u32(id).u16(0).u32(0).u64(0).f64(3).f64(0).u16(0)
}

// listRecord defines list number 0 with ready endpoints.
func listRecord(ids ...uint32) record {
	r := newRecord(10, 0).u32(uint32(len(ids)))
	for _, id := range ids {
		r = r.u32(id).u16(0).u8(0).u16(0).u8(1).u32(0x3f800000).f64(0)
	}
	return r
}

// passList is an event that passes list number 0 to the instance with the given ID.
func passList(id uint16, listKind uint8) record { return newRecord(2, id).u8(listKind).u32(1).u16(0) }

// buildBatch returns a batch with the given records.
func buildBatch(clock float64, records ...record) []byte {
	body := bytes.Join(func() (b [][]byte) {
		for _, r := range records {
			b = append(b, r)
		}
		return
	}(), nil)
	batch := record(nil).u32(uint32(len(body) + 16)).u32(uint32(len(records))).f64(clock)
	return append(batch, body...)
}

// sends returns the send actions of a reply, each as instance and endpoint.
func sends(t *testing.T, reply []byte) (out [][2]uint32) {
	t.Helper()
	sizes := map[byte]int{1: 7, 2: 7, 3: 3, 4: 9, 5: 19, 7: 4, 8: 19, 9: 15, 12: 7}
	for at := 8; at < len(reply); {
		size, known := sizes[reply[at]]
		if !known {
			t.Fatalf("unknown action code %d", reply[at])
		}
		if reply[at] == 5 {
			out = append(out, [2]uint32{uint32(binary.LittleEndian.Uint16(reply[at+1:])), binary.LittleEndian.Uint32(reply[at+7:])})
		}
		at += size
	}
	return out
}

// Each instance sends requests only to the endpoints of the list that was passed to it.
func TestServe(t *testing.T) {
	var out bytes.Buffer
	in := buildBatch(1)
	// List number 0 is defined twice in one batch; each instance must use the definition that preceded its update.
	in = append(in, buildBatch(1, startRecord(0, settingsText), listRecord(11), passList(0, 2), requestRecord(0, 1),
		startRecord(1, settingsText), listRecord(22), passList(1, 2), requestRecord(1, 2))...)
	// An instance exits and starts again in one batch: the new instance knows only its new list, and outcomes of attempts
	// made by the old one are ignored.
	in = append(in, buildBatch(2, newRecord(11, 0), startRecord(0, settingsText), listRecord(33), passList(0, 2),
		newRecord(9, 0).u32(1).u8(1).u16(0).u32(11).f64(1).u8(1).u8(0), requestRecord(0, 3), requestRecord(7, 9))...)
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var got [][2]uint32
	for reply := out.Bytes(); len(reply) > 0; {
		n := binary.LittleEndian.Uint32(reply)
		got = append(got, sends(t, reply[:n])...)
		reply = reply[n:]
	}
	want := [][2]uint32{{0, 11}, {1, 22}, {0, 33}}
	if len(got) != len(want) {
		t.Fatalf("got sends %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got sends %v, want %v", got, want)
		}
	}
}

// Malformed input gives an error of one line and no reply.
func TestMalformedInputGivesOneLineAndNoReply(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"truncated":      {buildBatch(1, requestRecord(0, 1))[:30], "batch 1: truncated"},
		"unknown code":   {buildBatch(1, newRecord(77, 0)), "unknown event code 77"},
		"no JSON":        {buildBatch(1, startRecord(0, "{")), "batch 1, instance 0: settings: "},
		"no profiles":    {buildBatch(1, startRecord(0, "{}")), "profiles are missing"},
		"invalid value":  {buildBatch(1, startRecord(4, strings.Replace(settingsText, `"sendCap": 3`, `"sendCap": 0`, 1))), "instance 4: balance: "},
		"list not known": {buildBatch(1, startRecord(0, settingsText), passList(0, 2)), "unknown list number 0"},
	} {
		var out bytes.Buffer
		err := serve(bytes.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") || out.Len() > 0 {
			t.Errorf("%s: got error %v and %d bytes of reply, want one line containing %q and no reply", name, err, out.Len(), c.want)
		}
	}
}
