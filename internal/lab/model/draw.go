package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// NewRand is the random source of one part of the model: parts drawn from different streams of a seed do not disturb
// each other when a scenario changes.
func NewRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Lognormal draws a positive figure with the given mean and coefficient of variation.
func Lognormal(rng *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(s2)*rng.NormFloat64()-s2/2)
}

// Around draws a span evenly from half to one and a half times d.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}
