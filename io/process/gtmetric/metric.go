// Package gtmetric keeps the metrics of a node, which are recorded in a tally
// scope, and writes them as text for the admin page.
//
// # Usage
//
//	metrics := gtmetric.New()
//	defer metrics.Close()
//	metrics.Scope().Counter("requests").Inc(1)
//	metrics.Write(w)
//
// docs/METRICS.md lists the names.
package gtmetric

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"godwittide/core/process/gtshard"
)

// reportPeriod is the period at which the scope reports its values.
const reportPeriod = time.Second

// Metrics is a reporter for a tally scope that keeps the current value of each
// series.
type Metrics struct {
	closer io.Closer
	scope  tally.Scope
	values gtshard.Map[float64]
}

// New returns a Metrics with a running scope. It must be closed.
func New() *Metrics {
	m := &Metrics{}
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{Prefix: "godwittide", Separator: "_", Reporter: m, OmitCardinalityMetrics: true}, reportPeriod)
	return m
}

// Close reports the last values and stops the goroutine of the scope.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Scope returns the root scope, in which metrics are recorded.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Write writes one line for each series: name, labels and value, sorted.
func (m *Metrics) Write(w io.Writer) error {
	all := map[string]float64{}
	m.values.Each(func(s map[string]float64) { maps.Copy(all, s) })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if _, err := fmt.Fprintf(w, "%s %g\n", name, all[name]); err != nil {
			return err
		}
	}
	return nil
}

func seriesKey(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	parts := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf("%s=%q", k, tags[k]))
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

func (m *Metrics) add(name string, v float64) {
	m.values.Do(name, func(s map[string]float64) { s[name] += v })
}

// ReportCounter adds to a counter.
func (m *Metrics) ReportCounter(name string, tags map[string]string, value int64) {
	m.add(seriesKey(name, tags), float64(value))
}

// ReportGauge sets a gauge.
func (m *Metrics) ReportGauge(name string, tags map[string]string, value float64) {
	key := seriesKey(name, tags)
	m.values.Do(key, func(s map[string]float64) { s[key] = value })
}

// ReportTimer adds to the count and the sum of a timer, in seconds.
func (m *Metrics) ReportTimer(name string, tags map[string]string, d time.Duration) {
	m.add(seriesKey(name+"_count", tags), 1)
	m.add(seriesKey(name+"_seconds", tags), d.Seconds())
}

// ReportHistogramValueSamples adds samples to all buckets whose upper bound is at
// least upper.
func (m *Metrics) ReportHistogramValueSamples(name string, tags map[string]string, buckets tally.Buckets, _, upper float64, samples int64) {
	m.addToBuckets(name, tags, buckets.AsValues(), upper, samples)
}

// ReportHistogramDurationSamples adds samples as ReportHistogramValueSamples does,
// with bounds in seconds.
func (m *Metrics) ReportHistogramDurationSamples(name string, tags map[string]string, buckets tally.Buckets, _, upper time.Duration, samples int64) {
	var bounds []float64
	for _, d := range buckets.AsDurations() {
		bounds = append(bounds, d.Seconds())
	}
	m.addToBuckets(name, tags, bounds, upper.Seconds(), samples)
}

func (m *Metrics) addToBuckets(name string, tags map[string]string, bounds []float64, upper float64, samples int64) {
	for _, bound := range bounds {
		if bound >= upper {
			m.add(bucketKey(name, tags, fmt.Sprint(bound)), float64(samples))
		}
	}
	m.add(bucketKey(name, tags, "+Inf"), float64(samples))
}

func bucketKey(name string, tags map[string]string, upper string) string {
	tags = maps.Clone(tags)
	if tags == nil {
		tags = map[string]string{}
	}
	tags["le"] = upper
	return seriesKey(name+"_bucket", tags)
}

// Capabilities returns the capabilities of the reporter, which m itself
// implements.
func (m *Metrics) Capabilities() tally.Capabilities { return m }

// Reporting returns true: the reporter records values.
func (m *Metrics) Reporting() bool { return true }

// Tagging returns true: the reporter supports tags, which Write writes as labels.
func (m *Metrics) Tagging() bool { return true }

// Flush does nothing, since values are not buffered.
func (m *Metrics) Flush() {}
