package gang_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/connection/remote"
	"corianderpass/internal/process/gang"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// BenchmarkRenewal encodes one renewal of a worker and decodes its answer, and
// reports the bytes of both bodies.
func BenchmarkRenewal(b *testing.B) {
	for _, tasks := range []int{2, 4, 8} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			call := remote.WorkerCall{Worker: "Mazowsze-w0123"}
			var reports []platform.TaskReport
			for i := range tasks {
				id := ledger.LeaseID("organisation/job-012345", i)
				call.Renewals = append(call.Renewals, platform.Renewal{ID: id, Epoch: 3, Life: gang.LeaseDuration})
				reports = append(reports, platform.TaskReport{ID: id, State: platform.TaskRunning, Progress: time.Hour})
			}
			bytes := 0
			for b.Loop() {
				asked, err := json.Marshal(call)
				if err != nil {
					b.Fatal(err)
				}
				answered, err := json.Marshal(reports)
				if err != nil {
					b.Fatal(err)
				}
				var read []platform.TaskReport
				if err := json.Unmarshal(answered, &read); err != nil {
					b.Fatal(err)
				}
				bytes = len(asked) + len(answered)
			}
			b.ReportMetric(float64(bytes), "body-bytes")
		})
	}
}
