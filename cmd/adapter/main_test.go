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

type record []byte

func newRecord(code uint8, who uint16) record {
	return binary.LittleEndian.AppendUint16([]byte{code}, who)
}
func (r record) u8(v uint8) record   { return append(r, v) }
func (r record) u16(v uint16) record { return binary.LittleEndian.AppendUint16(r, v) }
func (r record) u32(v uint32) record { return binary.LittleEndian.AppendUint32(r, v) }
func (r record) u64(v uint64) record { return binary.LittleEndian.AppendUint64(r, v) }
func (r record) f64(v float64) record {
	return r.u64(math.Float64bits(v))
}

func startRecord(who uint16, text string) record {
	return append(newRecord(1, who).u64(5).u32(uint32(len(text))), text...)
}

func requestRecord(who uint16, id uint32) record {
	return newRecord(8, who).u32(id).u16(0).u32(0).u64(0).f64(3).f64(0).u16(0)
}

func listRecord(ids ...uint32) record {
	r := newRecord(10, 0).u32(uint32(len(ids)))
	for _, id := range ids {
		r = r.u32(id).u16(0).u8(0).u16(0).u8(1).u32(0x3f800000).f64(0)
	}
	return r
}

func updateRecord(who uint16, how uint8) record { return newRecord(2, who).u8(how).u32(1).u16(0) }

func buildBatch(clock float64, records ...record) []byte {
	body := bytes.Join(func() (b [][]byte) {
		for _, r := range records {
			b = append(b, r)
		}
		return
	}(), nil)
	out := record(nil).u32(uint32(len(body) + 16)).u32(uint32(len(records))).f64(clock)
	return append(out, body...)
}

// codes lists the codes of the first few actions of interest in a reply: sends as instance and server.
func sends(t *testing.T, reply []byte) (out [][2]uint32) {
	t.Helper()
	sizes := map[byte]int{1: 7, 2: 7, 3: 3, 4: 9, 5: 19, 7: 4, 8: 19, 9: 15, 12: 7}
	for at := 8; at < len(reply); {
		size, known := sizes[reply[at]]
		if !known {
			t.Fatalf("action %d", reply[at])
		}
		if reply[at] == 5 {
			out = append(out, [2]uint32{uint32(binary.LittleEndian.Uint16(reply[at+1:])), binary.LittleEndian.Uint32(reply[at+7:])})
		}
		at += size
	}
	return out
}

func TestServe(t *testing.T) {
	var out bytes.Buffer
	in := buildBatch(1)
	// The list number is used twice in one batch; each instance must see the one that was valid for it.
	in = append(in, buildBatch(1, startRecord(0, settingsText), listRecord(11), updateRecord(0, 2), requestRecord(0, 1),
		startRecord(1, settingsText), listRecord(22), updateRecord(1, 2), requestRecord(1, 2))...)
	// Killed and started again in one batch: the new one knows only its new list; outcomes of the old are void.
	in = append(in, buildBatch(2, newRecord(11, 0), startRecord(0, settingsText), listRecord(33), updateRecord(0, 2),
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
		t.Fatalf("sends %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("sends %v, want %v", got, want)
		}
	}
}

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
		"list not known": {buildBatch(1, startRecord(0, settingsText), updateRecord(0, 2)), "unknown list number 0"},
	} {
		var out bytes.Buffer
		err := serve(bytes.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") || out.Len() > 0 {
			t.Errorf("%s: error %v and %d bytes of reply, want one line with %q and none", name, err, out.Len(), c.want)
		}
	}
}
