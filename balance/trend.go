package balance

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// Parameters of the utilisation-trend algorithm of Andreolini, Casolari and Colajanni: it compares smoothed
// utilisation with its mean, moves a signal by a step that follows the trend of the error, and uses the
// signals as weights. Signals have a mean of 1, so the limits below are relative to an even share.
const (
	minSignal      = 1.0 / 16 // lower limit of a signal, and the initial step
	maxSignal      = 4.0      // upper limit of a signal and of a step
	averageWindow  = 60       // n of the moving average where readings are dense
	errorTolerance = 1.0 / 64 // errors that differ by less count as equal, as reports are noisy
	minStepDivisor = 4        // a step is halved down to minSignal/minStepDivisor at most
	lookbackPhases = 3        // the average covers about this many phases, like the trend of errors
)

// initTrend starts the first phase.
func (b *Balancer) initTrend(now time.Duration) {
	b.phaseEndedAt = now
	b.setPhaseLength()
	// Phases start at a random point; otherwise balancers that read the same late report would step together.
	b.host.StartTimer(time.Duration(float64(b.phaseLength)*(0.5+b.rng.Float64())), timerPhase)
}

// setPhaseLength makes a phase longer than the observed interval between new readings.
func (b *Balancer) setPhaseLength() {
	b.phaseLength = min(max(b.meanTarget/2, 3*b.reportInterval/2, b.set.Tick), 4*b.meanTarget)
}

// addReading adds a utilisation to the moving average. Where readings are rare n shrinks, so that the average
// never covers more than a few phases.
func (b *Balancer) addReading(s *endpointState, utilisation float64, now time.Duration) {
	n := float64(averageWindow)
	if gap := now - s.lastReading; s.readings > 0 && gap > 0 {
		n = min(n, max(1, float64(lookbackPhases*b.phaseLength)/float64(gap)))
	}
	s.readings++
	alpha := max(2/(n+1), 1/float64(s.readings))
	s.utilisation += min(alpha, 1) * (utilisation - s.utilisation)
	s.lastReading = now
}

// readReport reads a load report and reports whether it has a valid utilisation. An unchanged report is
// ignored.
func (b *Balancer) readReport(s *endpointState, load []float32, now time.Duration) bool {
	fields := b.set.Report.Fields
	if len(load) == 0 || len(load) < len(fields) || len(load) > len(s.lastReport) {
		return false
	}
	utilisation, same := math.NaN(), s.hasReport
	for i, v := range load {
		same = same && s.lastReport[i] == v
		s.lastReport[i] = v
		if i < len(fields) && fields[i] == Util {
			utilisation = float64(v)
		}
	}
	if bad := math.IsNaN(utilisation) || math.IsInf(utilisation, 0); bad || same {
		return !bad
	}
	if s.hasReport {
		b.reportInterval += (min(now-s.reportedAt, 4*b.meanTarget) - b.reportInterval) / 16
	}
	s.reportedAt, s.hasReport = now, true
	b.updateCapacity(s, utilisation, now)
	b.addReading(s, min(max(utilisation, 0), 1), now)
	return true
}

// endPhase ends a phase: it computes the mean, updates the signal of every tracked endpoint, and rescales the
// signals.
func (b *Balancer) endPhase(now time.Duration) {
	mean, n := 0.0, 0
	for _, s := range b.tracked {
		if s.readings > 0 {
			mean += s.utilisation
			n++
		}
	}
	if n > 0 {
		mean /= float64(n)
	}
	for _, s := range b.tracked {
		if s.readings > 0 {
			s.updateSignal(mean)
		}
	}
	b.rescale()
	b.updateAfterPhase(now)
	b.phaseEndedAt = now
	b.setPhaseLength()
	b.host.StartTimer(b.phaseLength, timerPhase)
}

// updateSignal moves the signal by its step, towards the mean.
func (s *endpointState) updateSignal(mean float64) {
	s.phaseUtilisations = [3]float64{s.utilisation, s.phaseUtilisations[0], s.phaseUtilisations[1]}
	s.phaseErrors = [3]float64{math.Abs(s.utilisation - mean), s.phaseErrors[0], s.phaseErrors[1]}
	s.phasesKept = min(s.phasesKept+1, 3)
	if s.phasesKept == 3 {
		newer, older := compareErrors(s.phaseErrors[0], s.phaseErrors[1]),
			compareErrors(s.phaseErrors[1], s.phaseErrors[2])
		switch {
		case newer > 0 && older > 0: // rising
			s.step = min(2*s.step, maxSignal)
		case newer < 0 && older < 0, newer*older < 0: // falling, alternating
			s.step = max(s.step/2, minSignal/minStepDivisor)
		} // level: the step stays
	}
	s.signal = min(max(s.signal-s.step*float64(cmp.Compare(s.utilisation, mean)), minSignal), maxSignal)
}

// compareErrors is the sign of x-y, and 0 where they differ by less than errorTolerance.
func compareErrors(x, y float64) int { return int(min(max((x-y)/errorTolerance, -1), 1)) }

// rescale brings the mean of the signals back to 1 and keeps them within their limits.
func (b *Balancer) rescale() {
	sum := 0.0
	for _, s := range b.tracked {
		sum += s.signal
	}
	for _, s := range b.tracked {
		s.signal = min(max(s.signal*float64(len(b.tracked))/sum, minSignal), maxSignal)
	}
}

// addToRotation adds an endpoint to the rotation, at a random point of its first interval so that it gets no
// burst.
func (b *Balancer) addToRotation(s *endpointState, now time.Duration) {
	if s.heapIndex < 0 {
		s.nextSlowStartSend = now + b.randomPart(b.slowStartInterval(s, now))
		s.nextTurn = b.lastTurn + b.rng.Float64()/b.weight(s, now)
		heap.Push(&b.rotation, s)
	}
}

// nextEndpoint gives turns in order until one is accepted. An endpoint that is skipped loses its turn and
// does not make up for it later.
func (b *Balancer) nextEndpoint(now time.Duration, accept func(*endpointState) bool) *endpointState {
	for range len(b.rotation) {
		s := b.rotation[0]
		b.lastTurn = s.nextTurn
		s.nextTurn += 1 / b.weight(s, now)
		heap.Fix(&b.rotation, 0)
		if accept(s) {
			return s
		}
	}
	return nil
}
