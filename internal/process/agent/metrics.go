package agent

import (
	"fmt"

	"corianderpass/internal/request/dispatch"
)

// registerMetrics registers the gauges.
func (a *Agent) registerMetrics() {
	a.metrics.NewGauge("corianderpass_agent_slots", func() float64 {
		slots, _, _ := a.table.Load()
		return float64(slots)
	})
	a.metrics.NewGauge("corianderpass_agent_busy_slots", func() float64 {
		_, busy, _ := a.table.Load()
		return float64(busy)
	})
	a.metrics.NewGauge("corianderpass_bundle_version", func() float64 { return float64(a.version.Load()) })
}

// countOrder counts an order by organisation, fate and refusal.
func (a *Agent) countOrder(o dispatch.Order, reply dispatch.Reply) {
	name := fmt.Sprintf(`corianderpass_agent_orders_total{organisation=%q,fate=%q,refusal=%q}`, o.Organisation, reply.Fate, reply.Refusal)
	a.metrics.GetOrCreateCounter(name).Inc()
}
