package gthop

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// naiveForwardableHeader deletes the fields one by one from a full copy.
func naiveForwardableHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, f := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(f))
		}
	}
	for _, f := range append(hopByHopFields, nodeFields...) {
		out.Del(f)
	}
	return out
}

func TestForwardableHeaderMatchesNaive(t *testing.T) {
	fields := append([]string{"X-Private", "x-public", "Accept", HeaderRemaining, HeaderIdempotencyKey}, append(hopByHopFields, nodeFields...)...)
	rapid.Check(t, func(t *rapid.T) {
		h := http.Header{}
		for _, f := range rapid.SliceOfN(rapid.SampledFrom(fields), 0, 12).Draw(t, "fields") {
			value := rapid.SampledFrom([]string{"", "1", "close", "x-private, Accept", ", gt-left ,X-Public"}).Draw(t, "value")
			h.Add(f, value)
		}
		original := h.Clone()
		got := ForwardableHeader(h)
		if want := naiveForwardableHeader(original); !maps.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("%v: got %v, want %v", original, got, want)
		}
		got.Set("Accept", "changed")
		if !maps.EqualFunc(h, original, slices.Equal) {
			t.Fatalf("%v was changed to %v", original, h)
		}
	})
}
