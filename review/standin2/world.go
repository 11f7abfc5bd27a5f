package main

import (
	"cmp"
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangTime is how long a member of a gang waits for the others, bound gang_ms.
const gangTime = 3 * time.Second

// world has what all minions did, and the rules by which their runs end.
type world struct {
	record *record
	// fates returns the fate of a run by the spec of its job.
	fates func(spec, task string, run uint64, minion string) fate
	// gangs has the number of members of the gang of each spec whose step is one.
	gangs   map[string]int
	minions []*minion

	mu sync.Mutex
	// history has all runs in the order of their starts.
	history []*execution
	open    map[*run]*execution
	members map[string]*gang
	specs   map[string]string
}

// execution is one run as the minions saw it.
type execution struct {
	task    string
	run     uint64
	minion  string
	beganAt time.Time
	// endedAt is zero while the run goes on.
	endedAt time.Time
	how     string
}

// gang is one run of a gang.
type gang struct {
	size int
	runs map[*run]*minion
	// beganAt is the start of the first member; completeAt that of the last, zero while some are missing.
	beganAt, completeAt time.Time
	over                bool
}

func (w *world) fateOf(spec, task string, id uint64, minion string) fate {
	w.mu.Lock()
	w.specs[task] = spec
	w.mu.Unlock()
	return w.fates(spec, task, id, minion)
}

// began notes the start of a run. The lock of the minion is held.
func (w *world) began(r *run, m *minion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &execution{task: r.task, run: r.id, minion: m.name, beganAt: r.since}
	w.history = append(w.history, e)
	w.open[r] = e
	w.record.note("minion %s: start %s run %d", m.name, r.task, r.id)
	size := w.gangs[w.specs[r.task]]
	if size == 0 {
		return
	}
	key := gangKey(r)
	g := w.members[key]
	if g == nil {
		g = &gang{size: size, runs: map[*run]*minion{}, beganAt: time.Now()}
		w.members[key] = g
	}
	g.runs[r], r.gang = m, g
	if len(g.runs) == size {
		g.completeAt = time.Now()
	}
}

// gangKey names the run of the gang to which a run belongs.
func gangKey(r *run) string {
	return fmt.Sprintf("%s/%d", r.task[:strings.LastIndex(r.task, ".")], r.id)
}

// completeSince returns since when all members of the gang are present, zero while some are missing.
func (w *world) completeSince(g *gang) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return g.completeAt
}

// finished notes the end of a run. The lock of the minion is held.
func (w *world) finished(r *run, m *minion, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.open[r]; e != nil {
		e.endedAt, e.how = time.Now(), how
		delete(w.open, r)
	}
	w.record.note("minion %s: end %s run %d %s", m.name, r.task, r.id, how)
}

// step ends the runs whose time has come.
func (w *world) step() {
	for _, m := range w.minions {
		m.step()
	}
	for _, over := range w.gangsOver() {
		for r, m := range over.runs {
			m.mu.Lock()
			m.finish(r, over.how)
			m.mu.Unlock()
		}
	}
}

// overGang is a gang whose members end now.
type overGang struct {
	runs map[*run]*minion
	how  string
}

// gangsOver returns the gangs that are done, that have lost a member, or whose members did not all come.
func (w *world) gangsOver() []overGang {
	w.mu.Lock()
	defer w.mu.Unlock()
	var over []overGang
	for _, g := range w.members {
		if g.over {
			continue
		}
		how := ""
		for r := range g.runs {
			switch {
			case w.open[r] == nil:
				how = cmp.Or(how, "broken")
			case g.completeAt.IsZero() && time.Since(g.beganAt) > gangTime:
				how = cmp.Or(how, "alone")
			case !g.completeAt.IsZero() && time.Since(g.completeAt) >= r.fate.work:
				how = cmp.Or(how, r.fate.how)
			}
		}
		if how != "" {
			g.over = true
			over = append(over, overGang{g.runs, how})
		}
	}
	return over
}

// executions returns the runs of the tasks whose names begin with the prefix.
func (w *world) executions(prefix string) []execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []execution
	for _, e := range w.history {
		if strings.HasPrefix(e.task, prefix) {
			found = append(found, *e)
		}
	}
	return found
}

// running returns the runs with the prefix that go on.
func (w *world) running(prefix string) []execution {
	var found []execution
	for _, e := range w.executions(prefix) {
		if e.endedAt.IsZero() {
			found = append(found, e)
		}
	}
	return found
}

// minion returns the minion of the name.
func (w *world) minion(name string) *minion {
	for _, m := range w.minions {
		if m.name == name {
			return m
		}
	}
	return nil
}
