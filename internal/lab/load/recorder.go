package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how one request ended.
type Outcome struct {
	Intended, Sent, Ended time.Duration // since the start of the run
	Status                int           // 0 if no whole answer came
	TimedOut              bool
	NewConnection         bool // made a connection
}

// LatencyMS are the figures of a latency histogram, in milliseconds.
type LatencyMS struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
	Mean float64 `json:"mean"`
}

// Summary is what a load run has to tell. Latency counts from the intended time, of every request that was answered or
// timed out; ServiceMS counts from the send, and leaves out what a stall held back.
type Summary struct {
	Latency     LatencyMS `json:"latency_ms"`
	Service     LatencyMS `json:"service_ms"`
	Intended    int       `json:"intended"`
	Sent        int       `json:"sent"`
	OK          int       `json:"ok"`
	Failed      int       `json:"failed"` // answered other than 2xx or 3xx, or broken
	TimedOut    int       `json:"timed_out"`
	LateSends   int       `json:"late_sends"` // went out over LateAfter after their time
	MaxLateMS   float64   `json:"worst_late_ms"`
	Connections int       `json:"connections"`
	Seconds     float64   `json:"seconds"`
	Rate        float64   `json:"rate"` // sent a second
	CutShort    bool      `json:"cut_short"`
}

// LateAfter is how far behind its time a send counts as late: the generator itself has fallen behind.
const LateThreshold = 10 * time.Millisecond

// Second is one second of a run, by the intended time.
type SecondStats struct {
	Second   int     `json:"second"`
	Intended int     `json:"intended"`
	OK       int     `json:"ok"`
	Failed   int     `json:"failed"`
	TimedOut int     `json:"timed_out"`
	P50      float64 `json:"p50_ms"`
	P90      float64 `json:"p90_ms"`
	P99      float64 `json:"p99_ms"`
	Max      float64 `json:"max_ms"`
}

// Recorder gathers outcomes. Latencies run from 1 µs to 10 minutes with three significant digits.
type Recorder struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	service *hdrhistogram.Histogram
	seconds []SecondStats
	byTime  []*hdrhistogram.Histogram
	s       Summary
	worst   time.Duration
	last    time.Duration
}

func histogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), digits)
}

// NewRecorder makes an empty recorder.
func NewRecorder() *Recorder { return &Recorder{latency: histogram(3), service: histogram(3)} }

// Intend counts a request whose time has come, whatever becomes of it.
func (r *Recorder) RecordIntended(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.s.Intended++
	r.second(at).Intended++
}

func (r *Recorder) second(at time.Duration) *SecondStats {
	n := int(at / time.Second)
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, SecondStats{Second: len(r.seconds)})
		r.byTime = append(r.byTime, histogram(2))
	}
	return &r.seconds[n]
}

// Add takes an outcome.
func (r *Recorder) Add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sec := r.second(o.Intended)
	if o.Sent > 0 {
		r.s.Sent++
		if late := o.Sent - o.Intended; late > LateThreshold {
			r.s.LateSends++
			r.worst = max(r.worst, late)
		}
	}
	if o.NewConnection {
		r.s.Connections++
	}
	switch {
	case o.TimedOut:
		r.s.TimedOut++
		sec.TimedOut++
	case o.Status >= 200 && o.Status < 400:
		r.s.OK++
		sec.OK++
	default:
		r.s.Failed++
		sec.Failed++
	}
	r.last = max(r.last, o.Ended)
	if o.Status == 0 && !o.TimedOut {
		return // broken: it has no latency
	}
	us := int64((o.Ended - o.Intended) / time.Microsecond)
	r.latency.RecordValue(us)
	r.byTime[int(o.Intended/time.Second)].RecordValue(us)
	r.service.RecordValue(int64((o.Ended - o.Sent) / time.Microsecond))
}

func figures(h *hdrhistogram.Histogram) LatencyMS {
	at := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return LatencyMS{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000, Mean: h.Mean() / 1000}
}

// Summary is what there is so far.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.s
	s.Latency, s.Service = figures(r.latency), figures(r.service)
	s.MaxLateMS = float64(r.worst.Microseconds()) / 1000
	s.Seconds = r.last.Seconds()
	if s.Seconds > 0 {
		s.Rate = float64(s.Sent) / s.Seconds
	}
	return s
}

// Seconds is the run second by second.
func (r *Recorder) Seconds() []SecondStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]SecondStats, len(r.seconds))
	for i, s := range r.seconds {
		h := r.byTime[i]
		l := figures(h)
		s.P50, s.P90, s.P99, s.Max = l.P50, l.P90, l.P99, l.Max
		out[i] = s
	}
	return out
}

// Histogram is a copy of the latencies from the intended time, in microseconds.
func (r *Recorder) Histogram() *hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	return hdrhistogram.Import(r.latency.Export())
}
