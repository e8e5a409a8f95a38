package kernel

import (
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// metricPrefix is prepended to the name of every metric.
const metricPrefix = "savoryfold_"

// nanosPerSecond converts the histograms' nanoseconds to seconds.
const nanosPerSecond = 1e9

var quantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes a registry in the Prometheus text format. It parses the
// labels from the metrics' names.
func WriteMetrics(w io.Writer, r metrics.Registry) error {
	families := make(map[string]*dto.MetricFamily)
	r.Each(func(name string, m any) {
		metric, kind := convert(m)
		if metric == nil {
			return
		}
		base, labels := splitName(name)
		metric.Label = labels
		f := families[base]
		if f == nil {
			full := metricPrefix + base
			f = &dto.MetricFamily{Name: &full, Type: &kind}
			families[base] = f
		}
		f.Metric = append(f.Metric, metric)
	})
	for _, base := range slices.Sorted(maps.Keys(families)) {
		if _, err := expfmt.MetricFamilyToText(w, families[base]); err != nil {
			return errors.Wrap(err, "metrics")
		}
	}
	return nil
}

// convert converts a go-metrics value to the Prometheus model. It returns nil
// for types without a counterpart.
func convert(m any) (*dto.Metric, dto.MetricType) {
	switch m := m.(type) {
	case metrics.Counter:
		v := float64(m.Count())
		return &dto.Metric{Counter: &dto.Counter{Value: &v}}, dto.MetricType_COUNTER
	case metrics.Gauge:
		v := float64(m.Value())
		return &dto.Metric{Gauge: &dto.Gauge{Value: &v}}, dto.MetricType_GAUGE
	case metrics.GaugeFloat64:
		v := m.Value()
		return &dto.Metric{Gauge: &dto.Gauge{Value: &v}}, dto.MetricType_GAUGE
	case metrics.Histogram:
		return &dto.Metric{Summary: summary(m.Snapshot())}, dto.MetricType_SUMMARY
	}
	return nil, 0
}

func summary(t metrics.Histogram) *dto.Summary {
	count := uint64(t.Count())
	sum := float64(t.Sum()) / nanosPerSecond
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, v := range t.Percentiles(quantiles) {
		seconds := v / nanosPerSecond
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &seconds})
	}
	return s
}

// splitName splits `calls{pool="encode"}` into the name and its labels.
func splitName(name string) (string, []*dto.LabelPair) {
	base, rest, ok := strings.Cut(name, "{")
	if !ok {
		return name, nil
	}
	var labels []*dto.LabelPair
	for _, pair := range strings.Split(strings.TrimSuffix(rest, "}"), ",") {
		key, value, _ := strings.Cut(pair, "=")
		value = strings.Trim(value, `"`)
		labels = append(labels, &dto.LabelPair{Name: &key, Value: &value})
	}
	return base, labels
}
