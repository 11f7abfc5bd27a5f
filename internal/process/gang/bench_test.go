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

// BenchmarkRenewal encodes a renewal call to one worker, encodes and decodes its answer,
// and reports the length of both bodies in bytes.
func BenchmarkRenewal(b *testing.B) {
	for _, tasks := range []int{2, 4, 8} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			request := remote.WorkerCall{Worker: "Mazowsze-w0123"}
			var reports []platform.TaskReport
			for i := range tasks {
				id := ledger.LeaseID("organisation/job-012345", i)
				request.Renewals = append(request.Renewals, platform.Renewal{ID: id, Epoch: 3, Life: gang.LeaseDuration})
				reports = append(reports, platform.TaskReport{ID: id, State: platform.TaskRunning, Progress: time.Hour})
			}
			bodyBytes := 0
			for b.Loop() {
				requestBody, err := json.Marshal(request)
				if err != nil {
					b.Fatal(err)
				}
				reportBody, err := json.Marshal(reports)
				if err != nil {
					b.Fatal(err)
				}
				var decoded []platform.TaskReport
				if err := json.Unmarshal(reportBody, &decoded); err != nil {
					b.Fatal(err)
				}
				bodyBytes = len(requestBody) + len(reportBody)
			}
			b.ReportMetric(float64(bodyBytes), "body-bytes")
		})
	}
}
