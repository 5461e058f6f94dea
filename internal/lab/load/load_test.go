package load

import (
	"bytes"
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"kitewood/internal/lab/model"
	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) {
	testkit.FixSeed()
	goleak.VerifyTestMain(m)
}

// allTimes returns all arrival times.
func allTimes(a *Arrivals) []time.Duration {
	var out []time.Duration
	for at, more := a.Next(); more; at, more = a.Next() {
		out = append(out, at)
	}
	return out
}

// Evenly spaced arrivals follow the integral of the rate: for any shape, the n-th request comes when n are expected.
func TestArrivalsFollowShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shape Shape
		at := time.Duration(0)
		for range rapid.IntRange(0, 6).Draw(t, "corners") {
			at += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			shape = append(shape, Point{at, rapid.Float64Range(0, 3).Draw(t, "factor")})
		}
		end := at + time.Second
		const rate = 200.0
		got := allTimes(NewArrivals(rate, shape, nil, end))
		// Integrate the rate in small steps.
		sum, n := 0.0, 0
		const step = 50 * time.Microsecond
		for x := time.Duration(0); x < end; x += step {
			sum += rate * (shape.At(x) + shape.At(x+step-1)) / 2 * step.Seconds()
			for n < len(got) && got[n] <= x+step {
				if math.Abs(sum-float64(n)) > 0.5 {
					t.Fatalf("request %d is at %s, where %.2f are expected", n, got[n], sum)
				}
				n++
			}
		}
		if math.Abs(float64(len(got))-sum) > 1.5 {
			t.Fatalf("%d requests, want %.2f", len(got), sum)
		}
	})
}

func TestPoisson(t *testing.T) {
	got := allTimes(NewArrivals(1000, nil, model.NewRand(1, 1), 100*time.Second))
	if n := float64(len(got)); math.Abs(n-100_000) > 5*math.Sqrt(100_000) {
		t.Errorf("%g arrivals", n)
	}
	short := 0
	for i := 1; i < len(got); i++ {
		if got[i]-got[i-1] < time.Millisecond {
			short++
		}
	}
	if share := float64(short) / float64(len(got)); math.Abs(share-(1-1/math.E)) > 0.01 {
		t.Errorf("%.3f of the gaps are below the mean", share)
	}
	if again := allTimes(NewArrivals(1000, nil, model.NewRand(1, 1), 100*time.Second)); !reflect.DeepEqual(got, again) {
		t.Error("the same seed gives different arrivals")
	}
}

func TestShapes(t *testing.T) {
	for name := range ShapeNames {
		if _, err := NamedShape(name, time.Minute); err != nil {
			t.Error(err)
		}
	}
	steps, _ := NamedShape("steps", 4*time.Second)
	for at, want := range map[time.Duration]float64{0: 0.25, 999 * time.Millisecond: 0.25, time.Second: 0.5, 3500 * time.Millisecond: 1} {
		if got := steps.At(at); got != want {
			t.Errorf("steps at %s: %g, want %g", at, got, want)
		}
	}
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "shape.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	s, err := NamedShape(write("- {at: 0s, factor: 1}\n- {at: 2s, factor: 3}\n"), 0)
	if err != nil || s.At(time.Second) != 2 {
		t.Errorf("%v %v", s, err)
	}
	for _, bad := range []string{"- {at: 1, factor: 1}", "- {at: 2s, factor: 1}\n- {at: 1s, factor: 1}", "- {at: 1s, factor: -1}", "- {at: 1s, fctor: 1}"} {
		if _, err := NamedShape(write(bad), 0); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
	if _, err := NamedShape("no-such-shape", 0); err == nil || !strings.Contains(err.Error(), "due-date-morning") {
		t.Error(err)
	}
}

func TestTraces(t *testing.T) {
	head := `{"format":"kitewood-trace/1"}` + "\n"
	for text, want := range map[string]string{
		"":      "the trace contains no requests",
		head:    "the trace contains no requests",
		"hello": "line 1: not a trace",
		head + `{"at_ms":1,"method":"GET","target":"/","colour":1}`:                                            "line 2: json: unknown field",
		head + `{"at_ms":1,"method":"GET","target":"x"}`:                                                       "line 2: a request requires",
		head + `{"at_ms":5000,"method":"GET","target":"/"}` + "\n" + `{"at_ms":1,"method":"GET","target":"/"}`: "line 3: at_ms 1 is before",
		head + `{"at_ms":-1,"method":"GET","target":"/"}`:                                                      "line 2: at_ms -1 is before",
	} {
		if _, err := ReadTrace(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// Record writes each request with its time, and a replay sends the same requests at those times.
func TestRecordAndReplay(t *testing.T) {
	var mu sync.Mutex
	var received []string
	var times []time.Time
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := new(bytes.Buffer)
		body.ReadFrom(r.Body)
		mu.Lock()
		received = append(received, r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("X-Class")+" "+body.String())
		times = append(times, time.Now())
		mu.Unlock()
	}))
	defer target.Close()
	to, _ := url.Parse(target.URL)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var trace bytes.Buffer
	tracer, err := NewTracer(&trace, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- Record(ctx, ln, to, tracer, slog.New(slog.DiscardHandler)) }()
	client := &http.Client{Transport: &http.Transport{}}
	send := func(method, path, body string) {
		r, _ := http.NewRequest(method, "http://"+ln.Addr().String()+path, strings.NewReader(body))
		r.Header.Set("X-Class", "c")
		a, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
	}
	send("GET", "/look?a=1", "")
	time.Sleep(200 * time.Millisecond)
	send("POST", "/pay", "money")
	client.CloseIdleConnections()
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if n, err := tracer.Close(); n != 2 || err != nil {
		t.Fatal(n, err)
	}
	items, err := ReadTrace(&trace)
	if err != nil {
		t.Fatal(err)
	}
	rec := NewRecorder()
	if err := Run(context.Background(), &Replay{Items: items, Speed: 2}, Options{URL: target.URL, Timeout: 5 * time.Second, MaxInFlight: 10, Recorder: rec}); err != nil {
		t.Fatal(err)
	}
	if len(received) != 4 || received[0] != received[2] || received[1] != received[3] || received[1] != "POST /pay c money" {
		t.Errorf("%q", received)
	}
	if first, second := times[1].Sub(times[0]), times[3].Sub(times[2]); second < first/4 || second > first {
		t.Errorf("at double speed the gap of %s became %s", first, second)
	}
	if s := rec.Summary(); s.OK != 2 || s.Intended != 2 || s.Sent != 2 {
		t.Errorf("%+v", s)
	}
}

// Each intended request is counted once under its outcome, whatever the target does.
func TestOutcomesAreCounted(t *testing.T) {
	n := 0
	var mu sync.Mutex
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n++
		k := n % 4
		mu.Unlock()
		switch k {
		case 1:
			w.WriteHeader(500)
		case 2:
			time.Sleep(700 * time.Millisecond)
		case 3:
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"))
			conn.Close()
		}
	}))
	defer target.Close()
	rec := NewRecorder()
	err := Run(context.Background(), &SingleRequest{Item: Item{Method: "GET", Target: "/"}, Arrivals: NewArrivals(80, nil, nil, time.Second)},
		Options{URL: target.URL, Timeout: 300 * time.Millisecond, MaxInFlight: 200, Recorder: rec})
	if err != nil {
		t.Fatal(err)
	}
	if s := rec.Summary(); s.Intended != 80 || s.Sent != 80 || s.OK != 20 || s.Failed != 40 || s.TimedOut != 20 || s.Latency.Max < 299 {
		t.Errorf("%+v", s)
	}
}

// A generator with too low a limit of requests in flight falls behind, reports late sends, and still measures latency from the
// intended time.
func TestFallingBehindIsReported(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }))
	defer target.Close()
	rec := NewRecorder()
	err := Run(context.Background(), &SingleRequest{Item: Item{Method: "GET", Target: "/"}, Arrivals: NewArrivals(100, nil, nil, time.Second)},
		Options{URL: target.URL, Timeout: 5 * time.Second, MaxInFlight: 1, Recorder: rec})
	if err != nil {
		t.Fatal(err)
	}
	// 100 sequential requests of 50 ms: the last one, intended at 0.99 s, ends at 5 s or later.
	if s := rec.Summary(); s.LateSends < 90 || s.Latency.Max < 3900 || s.Service.P50 > 1000 || s.OK != 100 {
		t.Errorf("%+v", s)
	}
}

func TestTargets(t *testing.T) {
	for text, want := range map[string]string{"http://a:1/x?y=1": "a:1 /x?y=1", "http://a": "a:80 /", "https://a": "a:443 /", "ftp://a": "", "a:1": "", "http://": ""} {
		got, err := ParseURL(text)
		if want == "" {
			if err == nil {
				t.Errorf("%q is accepted", text)
			}
		} else if err != nil || got.Address+" "+got.Path != want || (got.TLS != nil) != strings.HasPrefix(text, "https") {
			t.Errorf("%q: %+v %v", text, got, err)
		}
	}
}
