package entry_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
	"corianderpass/pkg/platform"
)

// rollTimeout is how soon a rolled bundle must be in force in all processes.
const rollTimeout = 7 * time.Second

// versionInForce returns a condition that reports whether all processes have the version in
// force.
func (in *installation) versionInForce(version uint64) func() bool {
	return func() bool {
		for _, e := range in.entries {
			if current := e.InForce(); current == nil || uint64(current.Version) != version {
				return false
			}
		}
		for _, a := range in.agents {
			if a.BundleVersion() != bundle.Version(version) {
				return false
			}
		}
		return true
	}
}

// A rolled bundle must be in force in all processes of all regions within rollTimeout, at
// whatever moment between two exchanges of heartbeats it is rolled.
func TestRollReachesAllProcessesInTime(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.addEntry("s1", south)
		in.addAgent("b1", south, 8, 0)
		in.waitForExchange()
		slowest := time.Duration(0)
		for i := range 20 {
			in.roll(in.rules(fmt.Sprintf("AgeingTime = \"%dm\"\n", i+1)))
			slowest = max(slowest, in.waitUntil("in force", rollTimeout, in.versionInForce(in.version)))
			time.Sleep(time.Duration(i*37) * time.Millisecond)
		}
		in.t.Logf("slowest of 20 rolls: %s", slowest)
		if lagging := in.any().Status(in.t.Context()).Lagging(); len(lagging) > 0 {
			time.Sleep(2 * time.Second)
			if lagging = in.any().Status(in.t.Context()).Lagging(); len(lagging) > 0 {
				in.t.Errorf("status reports %d processes with an old bundle, want none", len(lagging))
			}
		}
	})
}

// A roll coincides with other failures: an entry is killed, another one starts, and agents
// can reach only one entry. No process may keep the old bundle.
func TestRollReachesAllProcessesDespiteFailures(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.addEntry("e3", north)
		in.waitForExchange()
		// Each agent reports to two of three entries, chosen at random: of ten agents,
		// some have chosen the two entries that they are cut off from.
		for i := range 10 {
			name := fmt.Sprint("a", i)
			if in.agents[name] == nil {
				in.addAgent(name, north, 8, 0)
			}
		}
		in.waitForExchange()
		for i := range 10 {
			in.net.Partition(fmt.Sprint("a", i), "e1")
			in.net.Partition(fmt.Sprint("a", i), "e2")
		}
		time.Sleep(30 * time.Second)
		in.roll(in.rules("AgeingTime = \"9m\"\n"))
		in.kill("e1")
		in.addEntry("e4", north)
		in.waitUntil("in force", rollTimeout, in.versionInForce(2))
	})
}

// Two operators roll different drafts at the same moment. Exactly one roll must succeed, the
// other must be refused with the code Raced, and no process may return to an older bundle.
func TestExactlyOneOfTwoRacingRollsSucceeds(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		highestVersions := map[string]uint64{}
		for round := range 20 {
			base := in.entries["e1"].Bundle().Version
			outcomes := make(chan error, 2)
			for i, pair := range [][3]string{{"e1", "ana", "bela"}, {"e2", "bela", "cid"}} {
				document := in.rules(fmt.Sprintf("AgeingTime = \"%dm\"\n", 100*(i+1)+round))
				go func() { outcomes <- in.tryRoll(in.entries[pair[0]], pair[1], pair[2], document) }()
			}
			successes := 0
			for range 2 {
				err := <-outcomes
				e := client.AsError(err)
				switch {
				case err == nil:
					successes++
				case e == nil || e.Fate != client.FateNotRun || e.Code != client.CodeRaced:
					in.t.Errorf("round %d: the refused roll got error %v, want code Raced and fate NotRun", round, err)
				}
			}
			if successes != 1 {
				in.t.Errorf("round %d: %d of two racing rolls succeeded, want 1", round, successes)
			}
			in.waitUntil("in force", rollTimeout, in.versionInForce(base+1))
			for name, entry := range in.entries {
				if v := uint64(entry.InForce().Version); v < highestVersions[name] {
					in.t.Errorf("%s: version %d was in force, got version %d later, want no older one", name, highestVersions[name], v)
				} else {
					highestVersions[name] = v
				}
			}
		}
	})
}

// A draft, an approval or a roll without the right signature, base version or approval must
// be refused and must not change the bundle in force.
func TestBundleStepsRequireSignatures(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		entry := in.entries["e1"]
		document := in.rules("AgeingTime = \"3m\"\n")
		digest := bundle.DigestOf(1, document)
		sign := func(name string, a bundle.Action) []byte { return bundle.Sign(in.keys[name], a, digest) }
		expect := func(what string, err error, code client.Code) {
			t.Helper()
			if e := client.AsError(err); e == nil || e.Code != code || e.Fate != client.FateNotRun {
				in.t.Errorf("%s: got error %v, want code %s and fate NotRun", what, err, code)
			}
		}
		_, err := entry.DraftBundle(in.t.Context(), client.Draft{Author: "ana", Base: 1, Document: document, Signature: sign("bela", bundle.ActionDraft)})
		expect("signature of another operator", err, client.CodeUnauthorised)
		_, err = entry.DraftBundle(in.t.Context(), client.Draft{Author: "ana", Base: 0, Document: document, Signature: bundle.Sign(in.keys["ana"], bundle.ActionDraft, bundle.DigestOf(0, document))})
		expect("old base", err, client.CodeRaced)
		_, err = entry.DraftBundle(in.t.Context(), client.Draft{Author: "ana", Base: 1, Document: "Nonsense = 1", Signature: nil})
		expect("invalid document", err, client.CodeInvalid)
		if _, err = entry.DraftBundle(in.t.Context(), client.Draft{Author: "ana", Base: 1, Document: document, Signature: sign("ana", bundle.ActionDraft)}); err != nil {
			in.t.Fatal(err)
		}
		_, err = entry.RollBundle(in.t.Context(), client.Consent{Operator: "ana", Digest: string(digest), Signature: sign("ana", bundle.ActionRoll)})
		expect("roll without approval", err, client.CodeConflict)
		_, err = entry.ApproveBundle(in.t.Context(), client.Consent{Operator: "ana", Digest: string(digest), Signature: sign("ana", bundle.ActionApprove)})
		expect("approval by the author", err, client.CodeConflict)
		_, err = entry.ApproveBundle(in.t.Context(), client.Consent{Operator: "bela", Digest: string(digest), Signature: sign("bela", bundle.ActionRoll)})
		expect("signature of another step", err, client.CodeUnauthorised)
		if entry.InForce().Version != 1 {
			in.t.Errorf("version %d is in force, want 1", entry.InForce().Version)
		}
	})
}

// The guarantees of a draft need more workers than the region has. The draft must be refused,
// since guarantees without enough workers could otherwise come into force.
func TestDraftWithUnplaceableGuaranteesIsRefused(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		extra := fmt.Sprintf("[[Organisations]]\nName = \"greedy\"\nHomeRegion = %q\n[[Organisations.Guarantees]]\nName = \"all\"\nRegion = %q\nTasks = 7\nAccelerators = 8\n", north, north)
		err := in.tryRoll(in.entries["e1"], "ana", "bela", in.rules(extra))
		if e := client.AsError(err); e == nil || e.Code != client.CodeConflict || e.Fate != client.FateNotRun {
			in.t.Errorf("%v", err)
		}
	})
}

// An entry starts while the log is down, so that it cannot read the bundle there. It must load
// the bundle in force, and not an older one, from a peer, and must not be ready before that.
func TestEntryStartedDuringLogOutageLoadsBundleFromPeer(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.roll(in.rules("AgeingTime = \"5m\"\n"))
		time.Sleep(3 * time.Second)
		in.log.SetFaults(standin.LogFaults{Down: true})
		newEntry := in.addEntry("e3", north)
		if ready, _ := newEntry.Ready(); ready && newEntry.InForce() == nil {
			in.t.Error("the entry is ready without a bundle, want not ready")
		}
		in.waitUntil("load the bundle from a peer", rollTimeout, func() bool { ready, _ := newEntry.Ready(); return ready })
		if v := newEntry.InForce().Version; v != 2 {
			in.t.Errorf("version %d is in force, want 2", v)
		}
		in.waitUntil("serve a request", rollTimeout, func() bool {
			_, err := in.call(newEntry, "", "free", true)
			return err == nil
		})
		if v := newEntry.InForce().Version; v != 2 {
			in.t.Errorf("version %d is in force, want 2", v)
		}
	})
}

// All entries are killed after the log has trimmed the records of the roll. A new entry must
// find the bundle in a snapshot and take over the running gang.
func TestBundleSurvivesLossOfAllEntriesAndLogTrimming(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.log.KeepTime = 30 * time.Minute
		in.start()
		in.submit(in.any(), "timber", client.Job{ID: "long", Tasks: 2, Accelerators: 8, Command: "work 5h"})
		time.Sleep(time.Hour)
		in.kill("e1")
		in.kill("e2")
		in.addEntry("e3", north)
		in.waitUntil("ready", rollTimeout, func() bool { ready, _ := in.entries["e3"].Ready(); return ready })
		if v := in.entries["e3"].InForce().Version; v != 1 {
			in.t.Errorf("version %d is in force, want 1", v)
		}
		in.waitUntil("takeover by the new driver", 20*time.Second, func() bool {
			_, epochs := in.tasksOf("timber", "long")
			return epochs[2] == 2
		})
	})
}

// Requests and jobs arrive at an entry outside the organisation's home region. They must be
// served there and run once. While the home region is unreachable, requests with an ID must
// be refused promptly, and requests without an ID must still be served.
func TestOrganisationIsServedFromAnyRegion(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		s1 := in.addEntry("s1", south)
		in.addAgent("b1", south, 8, 0)
		in.waitForExchange()
		answer, err := in.call(s1, "order-1", "order", false)
		if err != nil || string(answer.Body) != "answer to order" {
			in.t.Fatalf("request outside the home region: got answer %q, error %v, want the answer to order", answer.Body, err)
		}
		again, err := in.call(in.entries["e2"], "order-1", "order", false)
		if err != nil || string(again.Body) != string(answer.Body) {
			in.t.Fatalf("repeated request: got answer %q, error %v, want the same answer as before", again.Body, err)
		}
		if s := in.submit(s1, "timber", client.Job{ID: "cut", Tasks: 1, Accelerators: 1, Command: "work 1s"}); s.Region != string(north) {
			in.t.Errorf("got job %+v, want region Mazowsze", s)
		}
		in.net.Partition("s1", "e1")
		in.net.Partition("s1", "e2")
		time.Sleep(10 * time.Second)
		start := time.Now()
		_, err = in.call(s1, "order-2", "order", false)
		if e := client.AsError(err); e == nil || e.Fate != client.FateNotRun || e.RetryAfter == 0 {
			in.t.Errorf("home region unreachable: got error %v, want fate NotRun and a retry delay", err)
		}
		if took := time.Since(start); took > 5*time.Second {
			in.t.Errorf("refused after %s, want at most 5s", took)
		}
		if _, err := in.call(s1, "", "free", true); err != nil {
			in.t.Errorf("request without an ID while the home region is unreachable: got error %v, want none", err)
		}
		in.net.Heal("s1", "e1")
		in.net.Heal("s1", "e2")
		in.waitUntil("serve a request after the connection is restored", 10*time.Second, func() bool {
			_, err := in.call(s1, "order-2", "order", false)
			return err == nil
		})
		for id, runs := range in.runCounts(in.agentList()...) {
			if runs > 1 {
				in.t.Errorf("%s ran %d times, want at most once", id, runs)
			}
		}
	})
}

// Racks with guaranteed slots are lost. The slots must move to other workers, or be reported
// as shortfall if these are too few, until the racks return.
func TestLostRackMovesGuaranteesOrReportsShortfall(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		setFaults := func(ids []int, f standin.WorkerFaults) {
			for _, i := range ids {
				in.workers.SetFaults(platform.WorkerID(fmt.Sprintf("%s-w%03d", north, i)), f)
			}
		}
		setFaults([]int{0, 1, 2}, standin.WorkerFaults{Gone: true})
		time.Sleep(5 * time.Second)
		if s := in.any().Status(in.t.Context()); s.Shortfall != 0 || s.Away != 3 {
			in.t.Errorf("one rack lost: got shortfall %d and %d workers away, want 0 and 3", s.Shortfall, s.Away)
		}
		setFaults([]int{3, 4, 5, 6}, standin.WorkerFaults{Gone: true})
		time.Sleep(5 * time.Second)
		if s := in.any().Status(in.t.Context()); s.Shortfall != 1 {
			in.t.Errorf("three of ten workers left for four slots: got shortfall %d, want 1", s.Shortfall)
		}
		setFaults([]int{0, 1, 2, 3, 4, 5, 6}, standin.WorkerFaults{})
		in.waitUntil("shortfall ends", time.Minute, func() bool { return in.any().Status(in.t.Context()).Shortfall == 0 })
	})
}
