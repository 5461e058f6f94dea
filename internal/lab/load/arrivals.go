// Package load is the lab's open-loop load generator. Arrival times do not depend on responses, and latency is measured
// from the time at which a request was intended to be sent. A server that stalls is therefore charged with every request
// that should have been sent during the stall. A closed loop leaves those out (coordinated omission, see the documentation
// of wrk2 and HdrHistogram).
package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Point is a point of a Shape: a factor of the rate at a time. Factors between points are interpolated linearly.
type Point struct {
	At     time.Duration
	Factor float64
}

// Shape is a piecewise linear curve of rate factors, in order of time. It is constant before the first point and after the
// last. An empty shape is 1 throughout.
type Shape []Point

// At returns the factor at time t.
func (s Shape) At(t time.Duration) float64 {
	if len(s) == 0 {
		return 1
	}
	if t < s[0].At {
		return s[0].Factor
	}
	for i := 1; i < len(s); i++ {
		if t < s[i].At {
			a, b := s[i-1], s[i]
			return a.Factor + (b.Factor-a.Factor)*float64(t-a.At)/float64(b.At-a.At)
		}
	}
	return s[len(s)-1].Factor
}

// Arrivals generates the times at which requests are intended to be sent.
type Arrivals struct {
	rate      float64
	shape     Shape
	rng       *rand.Rand // nil for even spacing
	now       time.Duration
	immediate bool
	end       time.Duration
}

// NewArrivals returns arrivals at rate x shape requests per second until end: evenly spaced, or as a Poisson process if rng
// is set.
func NewArrivals(rate float64, shape Shape, rng *rand.Rand, end time.Duration) *Arrivals {
	return &Arrivals{rate: rate, shape: shape, rng: rng, immediate: rng == nil, end: end}
}

// Next returns the next time, or false once the end is reached.
func (a *Arrivals) Next() (time.Duration, bool) {
	expected := 1.0 // expected number of requests until the next one
	if a.rng != nil {
		expected = a.rng.ExpFloat64()
	}
	if a.immediate { // even spacing starts with a request at time 0
		a.immediate, expected = false, 0
	}
	at, ok := a.timeAfter(expected)
	a.now = at
	return at, ok && at < a.end
}

// timeAfter returns the time at which the expected number of requests since a.now reaches the given value.
func (a *Arrivals) timeAfter(expected float64) (time.Duration, bool) {
	t := a.now
	for {
		next, last := a.nextPoint(t)
		from := a.rate * a.shape.At(t)
		if last {
			if from <= 0 {
				return a.end, false
			}
			if x := expected / from; x < (a.end - t).Seconds() { // a rate close to zero would overflow time.Duration
				return t + seconds(x), true
			}
			return a.end, false
		}
		span := (next - t).Seconds()
		to := a.rate * a.factorBefore(next)
		if area := (from + to) / 2 * span; area < expected || area == 0 {
			expected -= area
			t = next
			if t >= a.end {
				return a.end, false
			}
			continue
		}
		// from*x + slope/2*x*x = expected
		slope := (to - from) / span
		x := 0.0
		if math.Abs(slope) < 1e-12 {
			x = expected / from
		} else {
			x = (math.Sqrt(math.Max(0, from*from+2*slope*expected)) - from) / slope
		}
		return t + seconds(math.Min(x, span)), true
	}
}

// nextPoint returns the time of the next point of the shape after t; last is true if there is none.
func (a *Arrivals) nextPoint(t time.Duration) (next time.Duration, last bool) {
	for _, p := range a.shape {
		if p.At > t {
			return p.At, false
		}
	}
	return 0, true
}

// factorBefore returns the factor immediately before t, the time of a point. It differs from At where two points at the same
// time form a step.
func (a *Arrivals) factorBefore(t time.Duration) float64 {
	for _, p := range a.shape {
		if p.At == t {
			return p.Factor
		}
	}
	return a.shape.At(t)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
