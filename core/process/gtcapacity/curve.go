package gtcapacity

import "math"

const (
	// maxConcurrency is the largest concurrency with a bin of its own; larger ones share
	// the last bin.
	maxConcurrency = 64
	// binMemory is the number of samples over which the mean of a bin is taken.
	binMemory = 200
	// minBinSamples is the number of samples from which a bin is used.
	minBinSamples = 8
	// minEvidence is the reduction of the sum of squared errors, in units of the
	// variance, from which the server is taken to slow down. At 14, servers that do not
	// slow down were seen to, as several knees are tried in each fit.
	minEvidence = 18.0
	// minSlowdown is the slow-down at the largest concurrency seen from which it is
	// reported, and toleratedSlowdown the one up to which a concurrency counts as
	// handled well.
	minSlowdown       = 0.15
	toleratedSlowdown = 0.1
	// refitSamples is the number of samples between two fits.
	refitSamples = 50
)

// bin is the moving average of the relative latency at one concurrency.
type bin struct {
	mean    float64
	samples int
}

// curve is the relative latency against the concurrency: constant up to the knee, and
// rising linearly beyond it.
type curve struct {
	bins    [maxConcurrency + 1]bin
	samples int
	knee    float64
	slope   float64
}

// add adds the relative latency of a request that began at the given concurrency.
func (c *curve) add(concurrency int, sample, variance float64) {
	b := &c.bins[min(concurrency, maxConcurrency)]
	b.samples++
	b.mean += (sample - b.mean) / float64(min(b.samples, binMemory))
	if c.samples++; c.samples%refitSamples == 0 && variance > 0 {
		c.fit(variance)
	}
}

// slowdown returns the factor by which requests take longer at a concurrency.
func (c *curve) slowdown(concurrency int) float64 {
	if c.slope == 0 {
		return 1
	}
	return 1 + c.slope*math.Max(0, float64(concurrency)-c.knee)
}

// capacity returns the concurrency up to which requests take hardly longer, or 0 if no
// slowing down was seen.
func (c *curve) capacity() float64 {
	if c.slope == 0 {
		return 0
	}
	return c.knee + toleratedSlowdown/c.slope
}

// fit finds the knee and the slope with the least sum of squared errors, weighted by the
// samples of the bins, and compares it with that of a constant.
func (c *curve) fit(variance float64) {
	points := make([]point, 0, maxConcurrency)
	for i, b := range c.bins {
		if b.samples >= minBinSamples {
			points = append(points, point{float64(i), b.mean, float64(min(b.samples, binMemory))})
		}
	}
	c.knee, c.slope = 0, 0
	if len(points) < 2 {
		return
	}
	constant, _, _ := fitBeyond(points, points[len(points)-1].x)
	best, largest := constant, points[len(points)-1].x
	for _, p := range points[:len(points)-1] {
		sse, level, slope := fitBeyond(points, p.x)
		if slope > 0 && sse < best && slope/level*(largest-p.x) >= minSlowdown && (constant-sse)/variance >= minEvidence {
			best, c.knee, c.slope = sse, p.x, slope/level
		}
	}
}

// point is the mean y of n samples at the concurrency x.
type point struct{ x, y, n float64 }

// fitBeyond fits a level up to the knee and a line from there on by least squares. It
// returns the sum of squared errors, the level and the slope of the line.
func fitBeyond(points []point, knee float64) (sse, level, slope float64) {
	var n, x, y, xx, xy float64
	for _, p := range points {
		d := math.Max(0, p.x-knee)
		n += p.n
		x += p.n * d
		y += p.n * p.y
		xx += p.n * d * d
		xy += p.n * d * p.y
	}
	if det := n*xx - x*x; det > 0 {
		slope = (n*xy - x*y) / det
	}
	level = (y - slope*x) / n
	for _, p := range points {
		e := p.y - level - slope*math.Max(0, p.x-knee)
		sse += p.n * e * e
	}
	return sse, level, slope
}
