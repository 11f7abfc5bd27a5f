package link_test

import (
	"context"
	"fmt"
	"testing"

	"corianderpass/internal/connection/link"
)

// BenchmarkCall measures one call with its answer over loopback, with both sides in
// one process.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			address, _, _ := listen(b, link.Handlers{
				"echo": link.Handle(func(_ context.Context, m message) (message, error) { return m, nil }),
			})
			pool := link.NewPool(link.DialTCP)
			defer pool.Close()
			body := message{Text: string(make([]byte, 0, size))}
			for range size {
				body.Text += "x"
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := link.Call[message](b.Context(), pool, address, "echo", body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
