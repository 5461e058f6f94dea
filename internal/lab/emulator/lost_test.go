package emulator

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/testkit"
)

// A process ends while a request that it has read waits, as the first of a connection does. Its sidecar sees the connection
// break and sends again: two attempts were never out at once, and what may have run was sent again all the same.
func TestProcessEndsOverARequest(t *testing.T) {
	const wait = 200 * time.Millisecond
	for _, class := range []string{"look", "pay"} {
		t.Run(class, func(t *testing.T) {
			s := read(t, strings.TrimSuffix(small, "troubles:\n"))
			w := &World{s: s, seed: 1, book: ledger.NewRecorder(), tasks: &tasks{}, log: slog.New(slog.DiscardHandler)}
			plan := s.Plan(1)
			var machines []*instance
			for _, m := range plan.Machines[:2] {
				m.Config.Connections.FirstRequestDelay = wait
				i := newInstance(w, m, false, nil)
				defer i.stop()
				machines = append(machines, i)
			}
			send := func(i *instance) net.Conn {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				c, err := net.Dial("tcp", ln.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				conn, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				i.do(func() { i.opened(&iconn{Conn: conn, i: i, sidecar: "s"}) })
				io.WriteString(c, "GET /"+class+"/x?work_us=1000 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 7\r\nX-Time-Left-Ms: 1500\r\n\r\n")
				return c
			}
			first := send(machines[0])
			time.Sleep(wait / 4) // it has been read, and waits
			machines[0].do(machines[0].down)
			if _, err := io.ReadAll(first); err == nil {
				t.Fatal("the connection was not reset")
			}
			send(machines[1]) // at once, as a sidecar may
			testkit.WaitUntil(t, "both are entered, and the second has its end", func() bool {
				n := map[ledger.Kind]int{}
				for _, e := range w.book.Entries() {
					n[e.Kind]++
				}
				return n[ledger.AttemptArrived] == 2 && n[ledger.AttemptEnded] == 1
			})
			got := map[string]int{}
			for _, b := range ledger.FindViolations(w.book.Entries(), s.Rules()) {
				got[b.Rule]++
			}
			if got[ledger.RuleNoConcurrentAttempts] > 0 {
				t.Errorf("two copies are seen where one was lost: %v", w.book.Entries())
			}
			if repeated := got[ledger.RuleNoUnsafeRetry] > 0; repeated != (class == "pay") {
				t.Errorf("sent again though it may have run: %v", repeated)
			}
		})
	}
}
