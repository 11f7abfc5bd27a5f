package gate_test

import (
	"fmt"
	"testing"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/request/gate"
)

// BenchmarkAdmitAndDone measures what the gate adds to one request.
func BenchmarkAdmitAndDone(b *testing.B) {
	for _, n := range []int{16, 64, 256} {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			g := gate.New("near", 64, 1e9, 1)
			var agents []gate.Agent
			for i := range n {
				agents = append(agents, gate.Agent{ID: incarnation.ID(fmt.Sprint("agent", i)), Region: "near", Service: "s", Slots: 8, Entries: 1})
			}
			g.SetAgents(agents)
			for b.Loop() {
				admission, err := g.Admit(b.Context(), gate.Request{Organisation: "o", Service: "s", Share: 1})
				if err != nil {
					b.Fatal(err)
				}
				g.Done(admission, gate.ResultAnswered, 0)
			}
		})
	}
}
