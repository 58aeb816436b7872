package gttrace

import (
	"context"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	api "go.opentelemetry.io/otel/trace"
)

// A ratio that changes must apply to the traces that start from then on; a sampler that is
// created once would keep the first.
func TestRatioAppliesToNewTraces(t *testing.T) {
	g := gomega.NewWithT(t)
	ratio := 0.0
	tracer := NewWithExporter(tracetest.NewInMemoryExporter(), func() float64 { return ratio }, "a1")
	isSampled := func() bool {
		ctx, end := tracer.Start(context.Background(), "edge", http.Header{})
		defer end(nil)
		return api.SpanContextFromContext(ctx).IsSampled()
	}
	g.Expect(isSampled()).To(gomega.BeFalse())
	ratio = 1
	g.Expect(isSampled()).To(gomega.BeTrue())
	ratio = 0
	g.Expect(isSampled()).To(gomega.BeFalse())
	g.Expect(tracer.Close(context.Background())).To(gomega.Succeed())
}
