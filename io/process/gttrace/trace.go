// Package gttrace records an OpenTelemetry span for each hop of a call and
// exports the spans by OTLP over HTTP.
//
// # Usage
//
//	tracer, err := gttrace.New(ctx, endpoint, ratio, instance)
//	defer tracer.Close(ctx)
//	ctx, end := tracer.Start(ctx, "hop", header)
//	err = forward(ctx, header)
//	end(err)
//
// Without an endpoint no spans are recorded, and the trace context of the caller
// is forwarded unchanged.
package gttrace

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"godwittide/core/request/gtkind"
)

// Tracer starts spans and propagates the trace context in header fields.
type Tracer struct {
	provider   *trace.TracerProvider
	tracer     api.Tracer
	propagator propagation.TraceContext
}

// New returns a tracer that exports its spans to the URL of an OTLP endpoint and
// records the share of new traces that ratio returns. With an empty endpoint it records
// none.
func New(ctx context.Context, endpoint string, ratio func() float64, instance string) (*Tracer, error) {
	if endpoint == "" {
		return &Tracer{}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, errorx.Decorate(err, "create the OTLP trace exporter")
	}
	return NewWithExporter(exporter, ratio, instance), nil
}

// NewWithExporter returns a tracer that sends its spans to the given exporter.
func NewWithExporter(exporter trace.SpanExporter, ratio func() float64, instance string) *Tracer {
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(ratioSampler{ratio})),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "godwittide"),
			attribute.String("service.instance.id", instance))))
	return &Tracer{provider: provider, tracer: provider.Tracer("godwittide")}
}

// ratioSampler records the share of traces that its function returns when they start.
type ratioSampler struct{ ratio func() float64 }

// ShouldSample decides by the ID of the trace.
func (s ratioSampler) ShouldSample(p trace.SamplingParameters) trace.SamplingResult {
	return trace.TraceIDRatioBased(s.ratio()).ShouldSample(p)
}

// Description returns the name of the sampler.
func (s ratioSampler) Description() string { return "RuntimeTraceIDRatio" }

// Start starts a child span of the span in ctx or, if there is none, of the trace
// context in the header. It writes the context of the new span to the header for
// the next hop. The returned function ends the span; an error sets its status to
// the error kind.
func (t *Tracer) Start(ctx context.Context, name string, h http.Header) (context.Context, func(error)) {
	if t.tracer == nil {
		return ctx, func(error) {}
	}
	if !api.SpanContextFromContext(ctx).IsValid() {
		ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
	}
	ctx, span := t.tracer.Start(ctx, name)
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, gtkind.Of(err).String())
		}
		span.End()
	}
}

// Close exports the remaining spans and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}
