package gtcanary

import "math"

// excessRates are the alternative hypotheses of the tests: by how much the new
// version's rate exceeds the baseline, as a fraction of the difference between
// the baseline and 1.
var excessRates = [...]float64{0.04, 0.12, 0.35, 0.75}

// cusum holds a cumulative sum of log-likelihood ratios for each of excessRates.
type cusum [len(excessRates)]float64

// upperRate returns an upper estimate of the rate of hits: the rate with Laplace
// smoothing plus one standard error, at most 0.9. It is above zero even without
// hits, the more so for few samples.
func upperRate(hits, total float64) float64 {
	p := (hits + 1) / (total + 2)
	return math.Min(0.9, p+math.Sqrt(p*(1-p)/(total+2)))
}

func ratio(hits, total float64) float64 {
	if total == 0 {
		return 0
	}
	return hits / total
}

// likelihoodRatios returns the log-likelihood ratio of hits out of total requests
// against the baseline rate, for each of excessRates.
func likelihoodRatios(hits, total uint64, baseline float64) cusum {
	var ratios cusum
	for i, excess := range excessRates {
		q := baseline + excess*(1-baseline)
		ratios[i] = float64(hits)*math.Log(q/baseline) + float64(total-hits)*math.Log((1-q)/(1-baseline))
	}
	return ratios
}

// add adds log-likelihood ratios to the sums, and returns the largest sum.
func (s *cusum) add(ratios cusum) float64 {
	for i, r := range ratios {
		s[i] = math.Max(0, s[i]+r)
	}
	return s.peak()
}

// peak returns the largest sum.
func (s *cusum) peak() float64 {
	peak := 0.0
	for _, v := range s {
		peak = math.Max(peak, v)
	}
	return peak
}
