package gate_test

import (
	"fmt"
	"testing"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/request/gate"
)

// BenchmarkEnterAndDone is the gate's part of one request.
func BenchmarkEnterAndDone(b *testing.B) {
	for _, n := range []int{16, 64, 256} {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			g := gate.New("near", 64, 1e9, 1)
			var agents []gate.Agent
			for i := range n {
				agents = append(agents, gate.Agent{ID: incarnation.ID(fmt.Sprint("agent", i)), Region: "near", Service: "s", Slots: 8, Entries: 1})
			}
			g.SetAgents(agents)
			for b.Loop() {
				pass, err := g.Admit(b.Context(), gate.Request{Organisation: "o", Service: "s", Share: 1})
				if err != nil {
					b.Fatal(err)
				}
				g.Done(pass, gate.ResultAnswered, 0)
			}
		})
	}
}
