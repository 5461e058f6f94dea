// Package load is the lab's open-loop load generator: arrivals are drawn ahead and do not wait for answers, and latency
// counts from the time at which a request was meant to go out. So a server that stalls is charged with every request
// that should have been sent while it did; a closed loop leaves those out (coordinated omission, see the page of wrk2
// and HdrHistogram's).
package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Point is a corner of a rate's curve: a factor of the rate at a time. Between corners it is a straight line.
type Point struct {
	At     time.Duration
	Factor float64
}

// Shape is a piecewise linear curve of factors, in order of time. Before the first corner and after the last it is
// level. An empty shape is 1 throughout.
type Shape []Point

// At is the factor at a time.
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

// Arrivals draws the times at which requests are meant to go out.
type Arrivals struct {
	rate      float64
	shape     Shape
	rng       *rand.Rand // nil for even spacing
	now       time.Duration
	immediate bool
	end       time.Duration
}

// NewArrivals gives rate x shape requests a second until end: evenly spaced, or as a Poisson process if rng is set.
func NewArrivals(rate float64, shape Shape, rng *rand.Rand, end time.Duration) *Arrivals {
	return &Arrivals{rate: rate, shape: shape, rng: rng, immediate: rng == nil, end: end}
}

// Next is the next time, or false once the end has come.
func (a *Arrivals) Next() (time.Duration, bool) {
	due := 1.0 // expected requests until the next
	if a.rng != nil {
		due = a.rng.ExpFloat64()
	}
	if a.immediate { // even spacing begins at once
		a.immediate, due = false, 0
	}
	at, ok := a.timeAfter(due)
	a.now = at
	return at, ok && at < a.end
}

// after is when so many requests are expected to have come since now.
func (a *Arrivals) timeAfter(due float64) (time.Duration, bool) {
	t := a.now
	for {
		next, last := a.nextPoint(t)
		from := a.rate * a.shape.At(t)
		if last {
			if from <= 0 {
				return a.end, false
			}
			if x := due / from; x < (a.end - t).Seconds() { // a rate next to nothing would overflow the clock
				return t + seconds(x), true
			}
			return a.end, false
		}
		span := (next - t).Seconds()
		to := a.rate * a.factorBefore(next)
		if area := (from + to) / 2 * span; area < due || area == 0 {
			due -= area
			t = next
			if t >= a.end {
				return a.end, false
			}
			continue
		}
		// from*x + slope/2*x*x = due
		slope := (to - from) / span
		x := 0.0
		if math.Abs(slope) < 1e-12 {
			x = due / from
		} else {
			x = (math.Sqrt(math.Max(0, from*from+2*slope*due)) - from) / slope
		}
		return t + seconds(math.Min(x, span)), true
	}
}

// corner is the next corner after t; last if there is none.
func (a *Arrivals) nextPoint(t time.Duration) (next time.Duration, last bool) {
	for _, p := range a.shape {
		if p.At > t {
			return p.At, false
		}
	}
	return 0, true
}

// before is the factor as a corner is reached; two corners at one time make a step.
func (a *Arrivals) factorBefore(t time.Duration) float64 {
	for _, p := range a.shape {
		if p.At == t {
			return p.Factor
		}
	}
	return a.shape.At(t)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
