package membership_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/membership"
	"corianderpass/pkg/platform"
)

// agents returns the heartbeats of n agents as they stand in production.
func agents(n int) []membership.Heartbeat {
	var beats []membership.Heartbeat
	for i := range n {
		beats = append(beats, membership.Heartbeat{
			Member: membership.Member{
				ID: incarnation.ID(fmt.Sprintf("agent%03d.1796337437072.f17aaf1a", i)), Role: membership.RoleAgent,
				Address: link.Address(fmt.Sprintf("10.20.30.%d:17301", i%250)), Region: "Mazowsze",
				FailureDomain: platform.FailureDomain(fmt.Sprintf("Mazowsze-d%02d", i%4)), Service: "evidence",
			},
			Health: membership.Health{Sequence: 1, Version: 4800, Slots: 8, Busy: 5},
		})
	}
	return beats
}

var counts = []int{16, 64, 256}

// BenchmarkHear takes one heartbeat of one agent among n.
func BenchmarkHear(b *testing.B) {
	for _, n := range counts {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			var d membership.Directory
			now := time.Now()
			beats := agents(n)
			d.Update(now, beats...)
			for i := 0; b.Loop(); i++ {
				beat := beats[i%n]
				beat.Sequence = uint64(i + 2)
				d.Update(now, beat)
			}
		})
	}
}

// BenchmarkExchange makes, encodes and takes in what an entry tells another one of
// n agents that have not changed.
func BenchmarkExchange(b *testing.B) {
	for _, n := range counts {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			var there membership.Directory
			var mine, theirs membership.Session
			now := time.Now()
			beats := agents(n)
			const sender = "entry1.1796337437072.f17aaf1a"
			theirs.ApplyDigest(now, mine.BuildDigest(sender, 4800, beats), &there)
			bytes := 0
			for b.Loop() {
				data, err := json.Marshal(mine.BuildDigest(sender, 4800, beats))
				if err != nil {
					b.Fatal(err)
				}
				var d membership.Digest
				if err := json.Unmarshal(data, &d); err != nil {
					b.Fatal(err)
				}
				theirs.ApplyDigest(now, d, &there)
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "digest-bytes")
		})
	}
}

// BenchmarkReport encodes an agent's report and an entry's reply to it.
func BenchmarkReport(b *testing.B) {
	report := membership.Report{Beat: agents(1)[0], Knows: 1 << 60}
	reply := membership.HeartbeatReply{Version: 4800, Mark: 1 << 60}
	bytes := 0
	for b.Loop() {
		asked, err := json.Marshal(report)
		if err != nil {
			b.Fatal(err)
		}
		answered, err := json.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(asked) + len(answered)
	}
	b.ReportMetric(float64(bytes), "body-bytes")
}
