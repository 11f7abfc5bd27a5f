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

// agentHeartbeats returns the heartbeats of n agents, of the size that production has.
func agentHeartbeats(n int) []membership.Heartbeat {
	var heartbeats []membership.Heartbeat
	for i := range n {
		heartbeats = append(heartbeats, membership.Heartbeat{
			Member: membership.Member{
				ID: incarnation.ID(fmt.Sprintf("agent%03d.1796337437072.f17aaf1a", i)), Role: membership.RoleAgent,
				Address: link.Address(fmt.Sprintf("10.20.30.%d:17301", i%250)), Region: "Mazowsze",
				FailureDomain: platform.FailureDomain(fmt.Sprintf("Mazowsze-d%02d", i%4)), Service: "evidence",
			},
			Health: membership.Health{Sequence: 1, Version: 4800, Slots: 8, Busy: 5},
		})
	}
	return heartbeats
}

var agentCounts = []int{16, 64, 256}

// BenchmarkUpdate updates a directory of n agents with one heartbeat.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			var d membership.Directory
			now := time.Now()
			heartbeats := agentHeartbeats(n)
			d.Update(now, heartbeats...)
			for i := 0; b.Loop(); i++ {
				next := heartbeats[i%n]
				next.Sequence = uint64(i + 2)
				d.Update(now, next)
			}
		})
	}
}

// BenchmarkExchange builds, encodes, decodes and applies the digest of n agents that have
// not changed.
func BenchmarkExchange(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			var directory membership.Directory
			var sender, receiver membership.Session
			now := time.Now()
			heartbeats := agentHeartbeats(n)
			const senderID = "entry1.1796337437072.f17aaf1a"
			receiver.ApplyDigest(now, sender.BuildDigest(senderID, 4800, heartbeats), &directory)
			bytes := 0
			for b.Loop() {
				data, err := json.Marshal(sender.BuildDigest(senderID, 4800, heartbeats))
				if err != nil {
					b.Fatal(err)
				}
				var d membership.Digest
				if err := json.Unmarshal(data, &d); err != nil {
					b.Fatal(err)
				}
				receiver.ApplyDigest(now, d, &directory)
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "digest-bytes")
		})
	}
}

// BenchmarkReport encodes an agent's report and an entry's reply to it.
func BenchmarkReport(b *testing.B) {
	report := membership.Report{Beat: agentHeartbeats(1)[0], Knows: 1 << 60}
	reply := membership.HeartbeatReply{Version: 4800, Mark: 1 << 60}
	bytes := 0
	for b.Loop() {
		request, err := json.Marshal(report)
		if err != nil {
			b.Fatal(err)
		}
		response, err := json.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(request) + len(response)
	}
	b.ReportMetric(float64(bytes), "body-bytes")
}
