package bundle_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"corianderpass/internal/version/bundle"
)

// largeDocument returns a document with n organisations, each with a token and a guarantee.
func largeDocument(n int) string {
	var lines strings.Builder
	for i := range n {
		fmt.Fprintf(&lines, "[[Organisations]]\nName = \"o%03d\"\nHomeRegion = \"Mazowsze\"\nShare = 2\nAcceleratorQuota = 512\nTokenDigests = [\"%064d\"]\n", i, i)
		lines.WriteString("[[Organisations.Guarantees]]\nName = \"large\"\nRegion = \"Mazowsze\"\nTasks = 8\nAccelerators = 8\nCores = 16\nMemory = 1024\n")
	}
	return document([]string{"ana", "bela"}, lines.String())
}

// BenchmarkParse parses a document, as every entry does for a draft and for its roll.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{60, 120, 240} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			document := largeDocument(n)
			parsed, err := bundle.Parse(document)
			if err != nil {
				b.Fatal(err)
			}
			data, err := json.Marshal(parsed)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := bundle.Parse(document); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(document)), "document-bytes")
			b.ReportMetric(float64(len(data)), "adopt-bytes")
		})
	}
}
