package allocation

import (
	"cmp"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// awaitRoom lets a unit wait for the runs that end first where it fits. Tasks that
// rank behind it may use that room only until then.
func (p *plan) awaitRoom(u *unit) {
	if u.rank.hopeless || len(u.members) == 0 {
		return
	}
	sites, _ := p.soonest(u)
	p.reserve(u, sites)
}

// soonest returns where runs that end by themselves first leave room for the unit,
// and in what time; nil if nowhere.
func (p *plan) soonest(u *unit) ([]site, time.Duration) {
	var best []site
	wait := time.Duration(0)
	for _, hosts := range p.groups(u) {
		sites, in := p.earliest(u, hosts)
		if sites != nil && (best == nil || in < wait) {
			best, wait = sites, in
		}
	}
	return best, wait
}

// clipTo returns the part of a claim that is there.
func clipTo(claim, room workload.Resources) workload.Resources {
	return workload.Resources{
		Cores:        min(claim.Cores, max(room.Cores, 0)),
		Memory:       min(claim.Memory, room.Memory),
		Accelerators: min(claim.Accelerators, max(room.Accelerators, 0)),
	}
}

// ending is a run and the time until its probable end.
type ending struct {
	host  *host
	claim workload.Resources
	in    time.Duration
}

// earliest returns where the unit fits first, and in what time.
func (p *plan) earliest(u *unit, hosts []*host) ([]site, time.Duration) {
	rooms := map[*host]workload.Resources{}
	var endings []ending
	for _, h := range hosts {
		rooms[h] = h.soon
		for r := range h.worker.Runs {
			if !p.stopping[r] {
				endings = append(endings, ending{h, p.claim(r), p.History.Remaining(p.State.Job(r.Job), r, p.Now)})
			}
		}
	}
	slices.SortFunc(endings, func(a, b ending) int {
		return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.host.worker.Life, b.host.worker.Life))
	})
	room := func(h *host) workload.Resources { return rooms[h] }
	for _, e := range endings {
		rooms[e.host] = rooms[e.host].Plus(e.claim)
		if sites := pack(u, hosts, room); sites != nil {
			return sites, e.in
		}
	}
	return nil, 0
}
