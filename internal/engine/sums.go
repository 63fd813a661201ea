package engine

import (
	"math"
	"time"
)

// features is the number of features of a linear model.
const features = 3

// fit are the sums of a weighted least-squares fit: the upper triangle of the products of
// the features, and their products with the observed value.
type fit struct {
	products [features * (features + 1) / 2]float64
	values   [features]float64
}

func (f *fit) add(x [features]float64, y, weight float64) {
	n := 0
	for i := range x {
		for j := i; j < features; j++ {
			f.products[n] += weight * x[i] * x[j]
			n++
		}
		f.values[i] += weight * x[i] * y
	}
}

// solve returns the coefficients that fit best. precision is the weight with which each is
// drawn to prior.
func (f *fit) solve(prior, precision [features]float64) [features]float64 {
	var a [features][features + 1]float64
	n := 0
	for i := range features {
		for j := i; j < features; j++ {
			a[i][j] += f.products[n]
			if i != j {
				a[j][i] += f.products[n]
			}
			n++
		}
		a[i][i] += precision[i]
		a[i][features] = f.values[i] + precision[i]*prior[i]
	}
	// The matrix is positive definite because of precision: no pivots are needed.
	for i := range features {
		for k := range features {
			if k == i {
				continue
			}
			factor := a[k][i] / a[i][i]
			for j := i; j <= features; j++ {
				a[k][j] -= factor * a[i][j]
			}
		}
	}
	var out [features]float64
	for i := range out {
		out[i] = a[i][features] / a[i][i]
	}
	return out
}

// ratio is a ratio of sums.
type ratio struct{ expected, observed float64 }

// sums are what is kept of observations. Those of several hosts add up.
type sums struct {
	first, event fit
	// lengths is the weighted number of complete responses and the sum of the logarithms of
	// their events for each expected output token.
	lengths, logLengths float64
	queue, stream       ratio
	// firsts is the number of recent first events, delays the sum of the seconds by which they
	// came later than by Rates.nominal, deviations that of the errors of their forecasts.
	firsts, delays, deviations float64
}

// sumCount is the number of values that a sums has on the wire.
const sumCount = 2*(features*(features+1)/2+features) + 9

func (s *sums) values() []*float64 {
	out := make([]*float64, 0, sumCount)
	for _, f := range []*fit{&s.first, &s.event} {
		for i := range f.products {
			out = append(out, &f.products[i])
		}
		for i := range f.values {
			out = append(out, &f.values[i])
		}
	}
	return append(out, &s.lengths, &s.logLengths, &s.queue.expected, &s.queue.observed, &s.stream.expected, &s.stream.observed, &s.firsts, &s.delays, &s.deviations)
}

// add adds other, which has been known for a time.
func (s *sums) add(other *sums, age time.Duration) {
	aged := *other
	aged.age(age)
	from := aged.values()
	for i, v := range s.values() {
		*v += *from[i]
	}
}

// age lets observations lose weight.
func (s *sums) age(by time.Duration) {
	values := s.values()
	for i, v := range values {
		*v *= weightAfter(by, i >= len(values)-recentSums)
	}
}

// recentSums is the number of values at the end that fade with recentHalfLife.
const recentSums = 3

func weightAfter(age time.Duration, recent bool) float64 {
	halfLife := memoryHalfLife
	if recent {
		halfLife = recentHalfLife
	}
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

func (s *sums) encode() []float32 {
	out := make([]float32, 0, sumCount)
	for _, v := range s.values() {
		out = append(out, float32(*v))
	}
	return out
}

// decodeSums reports false if the values are not those of sums.
func decodeSums(values []float32) (*sums, bool) {
	s := &sums{}
	into := s.values()
	if len(values) != len(into) {
		return nil, false
	}
	for i, v := range values {
		if math.IsNaN(float64(v)) || math.Abs(float64(v)) > maxSum {
			return nil, false
		}
		*into[i] = float64(v)
	}
	// Products of a feature with itself, weights and times are not negative.
	valid := s.lengths >= 0 && s.queue.expected >= 0 && s.queue.observed >= 0 && s.stream.expected >= 0 && s.stream.observed >= 0 && s.firsts >= 0 && s.deviations >= 0
	for _, f := range []*fit{&s.first, &s.event} {
		valid = valid && f.products[0] >= 0 && f.products[3] >= 0 && f.products[5] >= 0
	}
	return s, valid
}

// maxSum bounds the values that other hosts report.
const maxSum = 1e12
