package bundle_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"corianderpass/internal/version/bundle"
)

// large returns a document with n organisations, each with a token and a guarantee.
func large(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[[Organisations]]\nName = \"o%03d\"\nHomeRegion = \"Mazowsze\"\nShare = 2\nAcceleratorQuota = 512\nTokenDigests = [\"%064d\"]\n", i, i)
		b.WriteString("[[Organisations.Guarantees]]\nName = \"large\"\nRegion = \"Mazowsze\"\nTasks = 8\nAccelerators = 8\nCores = 16\nMemory = 1024\n")
	}
	return document([]string{"ana", "bela"}, b.String())
}

// BenchmarkParse reads a document, as every entry does at a draft and at its roll.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{60, 120, 240} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			text := large(n)
			parsed, err := bundle.Parse(text)
			if err != nil {
				b.Fatal(err)
			}
			data, err := json.Marshal(parsed)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := bundle.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "document-bytes")
			b.ReportMetric(float64(len(data)), "adopt-bytes")
		})
	}
}
