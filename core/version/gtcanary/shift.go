package gtcanary

import "math"

// shiftShares and shiftBuckets are the alternative hypotheses of the test of the whole
// histogram: the share of the new version's responses that are slower, and by how many
// latency buckets (2, 4 and 8 times as slow).
var (
	shiftShares  = [...]float64{0.35, 0.75}
	shiftBuckets = [...]int{5, 10, 15}
)

const (
	// minShiftSamples is the number of timed responses of the old version below which
	// the histogram is not tested: with 60 and 100 that vary much, the test raised false
	// alarms with 35 and 9 of 300 seeds, with 200 none.
	minShiftSamples = 200
	// toleratedShifts is the number of null hypotheses: all of the new version's responses
	// are slower by 0, 1, ... buckets of 15%.
	toleratedShifts = 2
	// toleratedShare is the share of responses that may be as slow as under the
	// alternative hypothesis. It bounds the evidence of a single response.
	toleratedShare = 0.02
	// kernelWidth is the half width, in buckets, of the kernel by which the old
	// version's histogram is smoothed.
	kernelWidth = 5
	// minDensity is the share of the old version's responses that any bucket is taken to
	// hold at least.
	minDensity = 1e-4
)

// shiftSums holds a cumulative sum of log-likelihood ratios for each pair of shiftShares
// and shiftBuckets and each null hypothesis.
type shiftSums [len(shiftShares) * len(shiftBuckets)][toleratedShifts]float64

// add adds log-likelihood ratios to the sums, and returns the peak.
func (s *shiftSums) add(ratios shiftSums) float64 {
	for i := range s {
		for k, r := range ratios[i] {
			s[i][k] = math.Max(0, s[i][k]+r)
		}
	}
	return s.peak()
}

// peak returns the evidence for the best of the alternative hypotheses, against that null
// hypothesis that explains the responses best.
func (s *shiftSums) peak() float64 {
	peak := 0.0
	for _, sums := range s {
		least := math.Inf(1)
		for _, v := range sums {
			least = math.Min(least, v)
		}
		peak = math.Max(peak, least)
	}
	return peak
}

// shiftRatios returns the log-likelihood ratios of the new version's latencies, given the
// number of the old version's timed responses.
func (rs *routeStats) shiftRatios(latencyCounts [LatencyBuckets]uint64, timed float64) shiftSums {
	var ratios shiftSums
	for i, n := range latencyCounts {
		if n == 0 {
			continue
		}
		var null [toleratedShifts]float64
		for d := range null {
			null[d] = rs.density(i-d, timed)
		}
		for k, buckets := range shiftBuckets {
			shifted := rs.density(i-buckets, timed)
			for w, share := range shiftShares {
				alternative := (1-share)*null[0] + share*shifted
				for d, p := range null {
					ratios[k*len(shiftShares)+w][d] += float64(n) * math.Log(alternative/((1-toleratedShare)*p+toleratedShare*shifted))
				}
			}
		}
	}
	return ratios
}

// density returns the share of the old version's responses in bucket i, smoothed by a
// triangular kernel.
func (rs *routeStats) density(i int, timed float64) float64 {
	sum := 0.0
	for d := 1 - kernelWidth; d < kernelWidth; d++ {
		if k := i + d; k >= 0 && k < LatencyBuckets {
			sum += rs.baselineLatency[k] * (kernelWidth - math.Abs(float64(d)))
		}
	}
	return math.Max(minDensity, sum/(kernelWidth*kernelWidth*timed))
}
