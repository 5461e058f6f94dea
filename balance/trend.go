package balance

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// The mechanism of Andreolini, Casolari and Colajanni: smoothed utilisation against its mean, a step that
// follows the trend of the error, signals as weights. Signals have a mean of 1: figures are shares of an even
// part.
const (
	lowest   = 1.0 / 16 // floor of a signal, and the first step
	highest  = 4.0      // top of a signal, and of a step
	window   = 60       // n of the average where readings are dense
	level    = 1.0 / 64 // errors closer than this share of full utilisation are level: reports are noisy
	leastCut = 4        // a step is halved down to lowest/leastCut at the least
	phases   = 3        // an average looks back over about this many phases, as the trend of errors does
)

func (b *Balancer) startTrend(now time.Duration) {
	b.phaseAt = now
	b.setLength()
	// Phases start at a random point, or balancers that read the same late report would step together.
	b.host.StartTimer(time.Duration(float64(b.length)*(0.5+b.rng.Float64())), timerPhase)
}

// setLength makes a phase outlast what the balancer has seen of the lag between fresh readings.
func (b *Balancer) setLength() {
	b.length = min(max(b.meanAim/2, 3*b.gap/2, b.set.Tick), 4*b.meanAim)
}

// read takes a utilisation into the average. Where readings come rarely n shrinks, so that the average never
// looks back further than a few phases.
func (b *Balancer) read(s *server, u float64, now time.Duration) {
	n := float64(window)
	if gap := now - s.at; s.count > 0 && gap > 0 {
		n = min(n, max(1, float64(phases*b.length)/float64(gap)))
	}
	s.count++
	alpha := max(2/(n+1), 1/float64(s.count))
	s.avg += min(alpha, 1) * (u - s.avg)
	s.at = now
}

// readReport takes a load report. A report that has not changed is no news, however often it comes.
func (b *Balancer) readReport(s *server, load []float32, now time.Duration) bool {
	fields := b.set.Report.Fields
	if len(load) == 0 || len(load) < len(fields) || len(load) > len(s.report) {
		return false
	}
	u, same := math.NaN(), s.reported
	for i, v := range load {
		same = same && s.report[i] == v
		s.report[i] = v
		if i < len(fields) && fields[i] == Util {
			u = float64(v)
		}
	}
	if bad := math.IsNaN(u) || math.IsInf(u, 0); bad || same {
		return !bad
	}
	if s.reported {
		b.gap += (min(now-s.fresh, 4*b.meanAim) - b.gap) / 16
	}
	s.fresh, s.reported = now, true
	b.gauge(s, u, now)
	b.read(s, min(max(u, 0), 1), now)
	return true
}

// phase ends a phase: the reference, every tracked server's error, step and signal, and the rescaling.
func (b *Balancer) phase(now time.Duration) {
	mean, n := 0.0, 0
	for _, s := range b.tracked {
		if s.count > 0 {
			mean += s.avg
			n++
		}
	}
	if n > 0 {
		mean /= float64(n)
	}
	for _, s := range b.tracked {
		if s.count > 0 {
			s.control(mean)
		}
	}
	b.rescale()
	b.endPhase(now)
	b.phaseAt = now
	b.setLength()
	b.host.StartTimer(b.length, timerPhase)
}

// control moves one signal by its step, towards the mean.
func (s *server) control(mean float64) {
	s.avgs = [3]float64{s.avg, s.avgs[0], s.avgs[1]}
	s.errs = [3]float64{math.Abs(s.avg - mean), s.errs[0], s.errs[1]}
	s.kept = min(s.kept+1, 3)
	if s.kept == 3 {
		newer, older := compare(s.errs[0], s.errs[1]), compare(s.errs[1], s.errs[2])
		switch {
		case newer > 0 && older > 0: // rising
			s.step = min(2*s.step, highest)
		case newer < 0 && older < 0, newer*older < 0: // falling, alternating
			s.step = max(s.step/2, lowest/leastCut)
		} // level: the step stays
	}
	s.cs = min(max(s.cs-s.step*float64(cmp.Compare(s.avg, mean)), lowest), highest)
}

// compare is the sign of x-y, and 0 where they are level.
func compare(x, y float64) int { return int(min(max((x-y)/level, -1), 1)) }

// rescale brings the mean of the signals back to 1 and keeps the floor.
func (b *Balancer) rescale() {
	sum := 0.0
	for _, s := range b.tracked {
		sum += s.cs
	}
	for _, s := range b.tracked {
		s.cs = min(max(s.cs*float64(len(b.tracked))/sum, lowest), highest)
	}
}

// join brings a server into the rotation, at a random point of its first interval so that none gets a burst.
func (b *Balancer) join(s *server, now time.Duration) {
	if s.index < 0 {
		s.coldNext = now + b.spread(b.coldGap(s, now))
		s.next = b.turn + b.rng.Float64()/b.weight(s, now)
		heap.Push(&b.rotation, s)
	}
}

// spin gives turns in order until one is taken. Who is passed over loses its turn and has none saved up
// later.
func (b *Balancer) spin(now time.Duration, take func(*server) bool) *server {
	for range len(b.rotation) {
		s := b.rotation[0]
		b.turn = s.next
		s.next += 1 / b.weight(s, now)
		heap.Fix(&b.rotation, 0)
		if take(s) {
			return s
		}
	}
	return nil
}
