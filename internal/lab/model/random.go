package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// NewRand returns the random source of one part of the model. Each part has its own stream of the seed, so a scenario
// change in one part does not alter what the others draw.
func NewRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Lognormal draws a positive value with the given mean and coefficient of variation.
func Lognormal(rng *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(s2)*rng.NormFloat64()-s2/2)
}

// Jitter draws a duration uniformly from 0.5*d to 1.5*d.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}
