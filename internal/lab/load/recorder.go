package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome describes how one request ended.
type Outcome struct {
	Intended, Sent, Ended time.Duration // since the start of the run
	Status                int           // 0 if no complete response was received
	TimedOut              bool
	NewConnection         bool // opened a connection
}

// LatencyMS summarizes a latency histogram, in milliseconds.
type LatencyMS struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
	Mean float64 `json:"mean"`
}

// Summary summarizes a load run. Latency covers every request that got a response or timed out, measured from the intended
// time. Service is measured from the send, so it leaves out delays that a stall caused before the send.
type Summary struct {
	Latency     LatencyMS `json:"latency_ms"`
	Service     LatencyMS `json:"service_ms"`
	Intended    int       `json:"intended"`
	Sent        int       `json:"sent"`
	OK          int       `json:"ok"`
	Failed      int       `json:"failed"` // status other than 2xx or 3xx, or connection broken
	TimedOut    int       `json:"timed_out"`
	LateSends   int       `json:"late_sends"` // sent more than LateThreshold after the intended time
	MaxLateMS   float64   `json:"worst_late_ms"`
	Connections int       `json:"connections"`
	Seconds     float64   `json:"seconds"`
	Rate        float64   `json:"rate"` // requests sent per second
	CutShort    bool      `json:"cut_short"`
}

// LateThreshold is the delay beyond which a send counts as late, which means that the generator itself has fallen behind.
const LateThreshold = 10 * time.Millisecond

// SecondStats are the results of one second of a run, by intended time.
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

// Recorder collects outcomes. Latencies are recorded from 1 µs to 10 minutes with three significant digits.
type Recorder struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	service   *hdrhistogram.Histogram
	seconds   []SecondStats
	perSecond []*hdrhistogram.Histogram
	summary   Summary
	maxLate   time.Duration
	lastEnd   time.Duration
}

func histogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), digits)
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{latency: histogram(3), service: histogram(3)} }

// RecordIntended counts a request whose intended time has been reached, whatever its outcome.
func (r *Recorder) RecordIntended(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Intended++
	r.second(at).Intended++
}

// second returns the statistics of the second that contains at, and creates them if needed.
func (r *Recorder) second(at time.Duration) *SecondStats {
	n := int(at / time.Second)
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, SecondStats{Second: len(r.seconds)})
		r.perSecond = append(r.perSecond, histogram(2))
	}
	return &r.seconds[n]
}

// Add records an outcome.
func (r *Recorder) Add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sec := r.second(o.Intended)
	if o.Sent > 0 {
		r.summary.Sent++
		if late := o.Sent - o.Intended; late > LateThreshold {
			r.summary.LateSends++
			r.maxLate = max(r.maxLate, late)
		}
	}
	if o.NewConnection {
		r.summary.Connections++
	}
	switch {
	case o.TimedOut:
		r.summary.TimedOut++
		sec.TimedOut++
	case o.Status >= 200 && o.Status < 400:
		r.summary.OK++
		sec.OK++
	default:
		r.summary.Failed++
		sec.Failed++
	}
	r.lastEnd = max(r.lastEnd, o.Ended)
	if o.Status == 0 && !o.TimedOut {
		return // broken connection: there is no latency
	}
	us := int64((o.Ended - o.Intended) / time.Microsecond)
	r.latency.RecordValue(us)
	r.perSecond[int(o.Intended/time.Second)].RecordValue(us)
	r.service.RecordValue(int64((o.Ended - o.Sent) / time.Microsecond))
}

// latencySummary converts a histogram in microseconds.
func latencySummary(h *hdrhistogram.Histogram) LatencyMS {
	at := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return LatencyMS{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000, Mean: h.Mean() / 1000}
}

// Summary returns the summary so far.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	s.Latency, s.Service = latencySummary(r.latency), latencySummary(r.service)
	s.MaxLateMS = float64(r.maxLate.Microseconds()) / 1000
	s.Seconds = r.lastEnd.Seconds()
	if s.Seconds > 0 {
		s.Rate = float64(s.Sent) / s.Seconds
	}
	return s
}

// Seconds returns the statistics of each second of the run.
func (r *Recorder) Seconds() []SecondStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]SecondStats, len(r.seconds))
	for i, s := range r.seconds {
		h := r.perSecond[i]
		l := latencySummary(h)
		s.P50, s.P90, s.P99, s.Max = l.P50, l.P90, l.P99, l.Max
		out[i] = s
	}
	return out
}

// Histogram returns a copy of the latencies from the intended time, in microseconds.
func (r *Recorder) Histogram() *hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	return hdrhistogram.Import(r.latency.Export())
}
