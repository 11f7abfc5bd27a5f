package journal_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/version/bundle"
)

// Unpack must return every packed payload unchanged and refuse a truncated compressed one.
func TestUnpackReversesPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "word")
		payload := append([]byte("{"), bytes.Repeat(word, rapid.IntRange(0, 400).Draw(t, "times"))...)
		packed, err := journal.Pack(payload)
		if err != nil {
			t.Fatal(err)
		}
		unpacked, err := journal.Unpack(packed)
		if err != nil || !bytes.Equal(payload, unpacked) {
			t.Fatalf("payload of %d bytes was unpacked to %d bytes, want the same bytes, error %v", len(payload), len(unpacked), err)
		}
		if len(packed) > 100 {
			if _, err := journal.Unpack(packed[:len(packed)-5]); len(payload) > 2048 && err == nil {
				t.Fatal("Unpack of a truncated payload returned no error, want one")
			}
		}
	})
}

// A payload that is larger than the limit must be an error. A part of it might decode as a
// state that lacks records.
func TestUnpackRejectsTooLargePayload(t *testing.T) {
	packed, err := journal.Pack(make([]byte, 64<<20+1))
	if err != nil {
		t.Fatal(err)
	}
	if data, err := journal.Unpack(packed); err == nil {
		t.Errorf("got %d bytes of a payload of %d, want an error", len(data), 64<<20+1)
	}
}

// BenchmarkPack packs and unpacks a bundle of n organisations, as an Adopt record
// carries it.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{60, 120, 240} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			rules := bundle.Bundle{}
			for i := range n {
				rules.Organisations = append(rules.Organisations, bundle.Organisation{
					Name: bundle.OrganisationName(fmt.Sprintf("o%03d", i)), HomeRegion: "Mazowsze", Share: 2, AcceleratorQuota: 512,
					TokenDigests: []string{fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i)}))},
					Guarantees:   []bundle.Guarantee{{Name: "large", Region: "Mazowsze", Tasks: 8, Accelerators: 8, Cores: 16, Memory: 1024}},
				})
			}
			payload, err := json.Marshal(rules)
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for b.Loop() {
				packed, err := journal.Pack(payload)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := journal.Unpack(packed); err != nil {
					b.Fatal(err)
				}
				size = len(packed)
			}
			b.ReportMetric(float64(len(payload)), "plain-bytes")
			b.ReportMetric(float64(size), "packed-bytes")
		})
	}
}
