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
// drawn to prior. Sums that no observations can have give prior.
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
	// The matrix of sound sums is positive definite because of precision: no pivoting is
	// needed.
	for i := range features {
		if !(a[i][i] > 0) {
			return prior
		}
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
		if math.IsNaN(out[i]) || math.IsInf(out[i], 0) {
			return prior
		}
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
	memory, recent := weightAfter(by, false), weightAfter(by, true)
	for i, v := range values {
		if i >= len(values)-recentSums {
			*v *= recent
		} else {
			*v *= memory
		}
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
	valid = valid && math.Abs(s.delays) <= s.firsts*maxDelay.Seconds()*(1+roundingPart)+roundingTerm && s.deviations <= s.firsts*maxDeviation.Seconds()*(1+roundingPart)+roundingTerm
	return s, valid && s.first.valid() && s.event.valid()
}

// valid reports whether observations can have these products.
func (f *fit) valid() bool {
	p := &f.products
	for _, n := range diagonal {
		if p[n] < 0 {
			return false
		}
	}
	within := func(mixed, a, b int) bool { return p[mixed]*p[mixed] <= p[a]*p[b]*(1+roundingPart)+roundingTerm }
	return within(1, 0, 3) && within(2, 0, 5) && within(4, 3, 5)
}

// diagonal are the indexes of the products of a feature with itself.
var diagonal = [features]int{0, 3, 5}

// roundingPart and roundingTerm allow for the precision of the values on the wire, and for
// faded ones that it rounds to 0.
const roundingPart, roundingTerm = 1e-6, 1e-12

// maxSum bounds the values that other hosts report.
const maxSum = 1e12

const (
	// hostWeight is the weight that the observations of one host may always have, and
	// hostFeatures that of the squares of a feature in them.
	hostWeight, hostFeatures = 50, 5e5
	// hostExcess bounds the weight of one host above that, as a multiple of the mean of the
	// others.
	hostExcess = 4
	// hostOutlier bounds the times that one host reports to a multiple of what the others
	// know. It is above outlierFactor, which bounds each sound observation.
	hostOutlier = 2 * outlierFactor
)

// bound bounds the observed values to multiples of those that coefficients give.
func (f *fit) bound(coefficients [features]float64, factor float64) {
	p := &f.products
	for i, row := range [features][features]float64{{p[0], p[1], p[2]}, {p[1], p[3], p[4]}, {p[2], p[4], p[5]}} {
		most := 0.0
		for j, x := range row {
			most += factor * coefficients[j] * math.Abs(x)
		}
		f.values[i] = min(max(f.values[i], -most), most)
	}
}

func firstOf(s *sums) *fit { return &s.first }
func eventOf(s *sums) *fit { return &s.event }

// weightSums is the number of weights of a sums that are bounded.
const weightSums = 2*features + 4

// freeWeights are the weights that one host may always have.
var freeWeights = [weightSums]float64{hostWeight, hostFeatures, hostFeatures, hostWeight, hostFeatures, hostFeatures, hostWeight, hostWeight, hostWeight, hostWeight}

// weights returns the weights of the fits by feature, and of the other parts.
func (s *sums) weights() [weightSums]float64 {
	f, e := &s.first.products, &s.event.products
	return [weightSums]float64{f[diagonal[0]], f[diagonal[1]], f[diagonal[2]], e[diagonal[0]], e[diagonal[1]], e[diagonal[2]],
		s.lengths, s.queue.expected + s.queue.observed, s.stream.expected + s.stream.observed, s.firsts}
}

// scale multiplies the parts to which the weights belong; the least factor of a fit counts.
func (s *sums) scale(by [weightSums]float64) {
	s.first.scale(min(by[0], by[1], by[2]))
	s.event.scale(min(by[3], by[4], by[5]))
	s.lengths *= by[6]
	s.logLengths *= by[6]
	s.queue.expected *= by[7]
	s.queue.observed *= by[7]
	s.stream.expected *= by[8]
	s.stream.observed *= by[8]
	s.firsts *= by[9]
	s.delays *= by[9]
	s.deviations *= by[9]
}

func (f *fit) scale(by float64) {
	for i := range f.products {
		f.products[i] *= by
	}
	for i := range f.values {
		f.values[i] *= by
	}
}

// addLimited adds sums of other hosts to own ones, and scales down those of too much weight. None of the others outweighs the rest; own
// observations were bounded one by one.
func (s *sums) addLimited(others []sums) {
	totals := s.weights()
	for i := range others {
		for n, w := range others[i].weights() {
			totals[n] += w
		}
	}
	for i := range others {
		h := &others[i]
		var factors [weightSums]float64
		for n, w := range h.weights() {
			limit := max(freeWeights[n], hostExcess*(totals[n]-w)/float64(len(others)))
			factors[n] = limit / max(w, limit)
		}
		h.scale(factors)
		s.add(h, 0)
	}
}

// withoutOutliers returns the fit without what in the fits of others exceeds by far what the
// rest of the hosts say, once these know enough. f has to include others.
func (f *fit) withoutOutliers(others []sums, of func(*sums) *fit, prior, precision [features]float64) fit {
	out := *f
	for n := range others {
		h, rest := of(&others[n]), *f
		for i, v := range h.products {
			rest.products[i] -= v
		}
		for i, v := range h.values {
			rest.values[i] -= v
		}
		if rest.products[0] < minStreams {
			continue
		}
		expected := rest.solve(prior, precision)
		for i := range expected {
			expected[i] = max(0, expected[i])
		}
		bounded := *h
		bounded.bound(expected, hostOutlier)
		for i, v := range bounded.values {
			out.values[i] -= h.values[i] - v
		}
	}
	return out
}
