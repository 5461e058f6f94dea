package transport

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// chunked is the start of a watch with these lines, and no end.
func chunked(lines ...string) string {
	text := strings.Join(lines, "\n") + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
}

// Whatever discovery does, an operation that comes meanwhile has its answer, and a discovery that ends its watches is
// asked again until one stands.
func TestDiscoveryMisbehaves(t *testing.T) {
	echoes := server(t, echo)
	entry := func(name, status string) string {
		return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1}`, name, echoes, status)
	}
	list := func(index int, whole bool, entries ...string) string {
		return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, whole, strings.Join(entries, ","))
	}
	var many []string
	for i := range 4000 {
		many = append(many, entry(fmt.Sprint("s", i), "Ready"))
	}
	good := chunked(list(9, true, entry("s", "Ready")))
	for _, c := range []struct {
		name   string
		answer string
		closes bool   // the connection ends behind it, and is opened again
		want   string // of an operation
	}{
		{"accepts and says nothing", "", false, "200"},
		{"answers 503", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true, "200"},
		{"ends before its head", "HTTP/1.1 2", true, "200"},
		{"ends in the middle of a line", strings.TrimSuffix(good, "]}\n\r\n"), true, "200"},
		{"names an unknown state", chunked(list(2, true, entry("s", "Asleep"))), true, "200"},
		{"sends no JSON", chunked("<html>"), true, "200"},
		{"goes back in its versions", chunked(list(8, true, entry("s", "Ready")), list(3, false, entry("s", "Ready"))), false, "200"},
		{"names thousands", chunked(list(2, true, many...)), false, "200"},
		{"names nobody", chunked(list(2, true)), false, "503"},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked, stands := make(chan bool, 99), make(chan bool, 99)
			var calls atomic.Int32
			discovery := server(t, func(conn net.Conn) {
				defer conn.Close()
				head(conn)
				first := calls.Add(1) <= 2
				if !first {
					io.WriteString(conn, good)
					stands <- true
					io.Copy(io.Discard, conn)
					return
				}
				io.WriteString(conn, c.answer)
				asked <- true
				if !c.closes {
					io.Copy(io.Discard, conn)
				}
			})
			set := settings()
			set.Ask, set.Rules.AskWithin = true, 640*time.Millisecond
			_, ln, run := stopped(t, 4, echoes, set, discovery)
			run()
			<-asked
			time.Sleep(20 * time.Millisecond) // what it said is taken, or the watch ends
			conn, r := dial(t, ln)
			io.WriteString(conn, pay("a"))
			if status, _ := answer(t, r); !strings.Contains(status, c.want) {
				t.Errorf("an operation was answered %q, want %s", status, c.want)
			}
			if !c.closes {
				return
			}
			select {
			case <-stands:
			case <-time.After(20 * time.Second):
				t.Fatal("discovery was not asked again")
			}
		})
	}
}
