// Package gttrace records a span for each hop of a call by OpenTelemetry and
// sends the spans by OTLP over HTTP.
//
// # Usage
//
//	tracer, err := gttrace.New(ctx, endpoint, ratio, instance)
//	defer tracer.Close(ctx)
//	ctx, end := tracer.Start(ctx, "hop", header)
//	defer end(err)
//
// Without an endpoint no span is made, and a caller's trace context travels
// on unchanged.
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

// Tracer makes spans.
type Tracer struct {
	provider *trace.TracerProvider
	tracer   api.Tracer
	carrier  propagation.TraceContext
}

// New returns a tracer that sends its spans to the OTLP endpoint, an URL. An
// empty endpoint gives a tracer that makes none.
func New(ctx context.Context, endpoint string, ratio float64, instance string) (*Tracer, error) {
	if endpoint == "" {
		return &Tracer{}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, errorx.Decorate(err, "set up traces")
	}
	return WithExporter(exporter, ratio, instance), nil
}

// WithExporter returns a tracer that gives its spans to an exporter.
func WithExporter(exporter trace.SpanExporter, ratio float64, instance string) *Tracer {
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(ratio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "godwittide"),
			attribute.String("service.instance.id", instance))))
	return &Tracer{provider: provider, tracer: provider.Tracer("godwittide")}
}

// Start starts a span below the one in ctx, or else below the one that the
// header names, and writes the new span into the header for the next hop. The
// function that it returns ends the span.
func (t *Tracer) Start(ctx context.Context, name string, h http.Header) (context.Context, func(error)) {
	if t.tracer == nil {
		return ctx, func(error) {}
	}
	if !api.SpanContextFromContext(ctx).IsValid() {
		ctx = t.carrier.Extract(ctx, propagation.HeaderCarrier(h))
	}
	ctx, span := t.tracer.Start(ctx, name)
	t.carrier.Inject(ctx, propagation.HeaderCarrier(h))
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, gtkind.Of(err).String())
		}
		span.End()
	}
}

// Close sends the spans that are left.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}
