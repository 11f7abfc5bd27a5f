package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/standin"
	"corianderpass/pkg/client"
)

// A request must pass from a caller through an entry and an agent to a minion and back.
func TestRequestIsServedEndToEnd(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		answer, err := in.call(in.entries["e1"], "", "invoice", true)
		if err != nil || string(answer.Body) != "answer to invoice" {
			in.t.Fatalf("got answer %q, error %v, want the answer to invoice", answer.Body, err)
		}
	})
}

// Many callers send the same request ID to two entries at once. The request must run once and
// all must get its answer, while another body under the same ID is refused.
func TestRequestIDRunsOnceAcrossEntries(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		type outcome struct {
			answer ledger.Answer
			err    error
		}
		outcomes := make(chan outcome, 20)
		for i := range 20 {
			entry := in.entries[[]string{"e1", "e2"}[i%2]]
			go func() {
				answer, err := in.call(entry, "order-1", "sleep 300ms order", false)
				outcomes <- outcome{answer, err}
			}()
		}
		for range 20 {
			o := <-outcomes
			if o.err != nil || string(o.answer.Body) != "answer to sleep 300ms order" {
				in.t.Errorf("got answer %q, error %v, want the answer to order", o.answer.Body, o.err)
			}
		}
		if runs := in.runCounts(in.agentList()...)["timber/order-1"]; runs != 1 {
			in.t.Errorf("the request ran %d times, want once", runs)
		}
		_, err := in.call(in.entries["e2"], "order-1", "another body", false)
		if e := client.AsError(err); e == nil || e.Code != client.CodeConflict || e.Fate != client.FateNotRun {
			in.t.Errorf("other body under the same ID: got error %v, want code Conflict and fate NotRun", err)
		}
	})
}

// A minion's answer is longer than the bundle allows. The caller must get the fate Ran, and
// with an ID a retry must not run the request again.
func TestAnswerOverLimitIsReportedAsRan(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.document = strings.Replace(in.document, "Name = \"evidence\"\n", "Name = \"evidence\"\nAnswerLimit = 20\n", 1)
		in.start()
		if answer, err := in.call(in.entries["e1"], "", "short", true); err != nil || string(answer.Body) != "answer to short" {
			in.t.Errorf("short answer: got %q, error %v, want the answer to short", answer.Body, err)
		}
		for _, id := range []string{"", "order-1", "order-1"} {
			_, err := in.call(in.entries["e2"], id, "much too long for twenty bytes", false)
			if e := client.AsError(err); e == nil || e.Code != client.CodeAnswerTooLong || e.Fate != client.FateRan {
				in.t.Errorf("request ID %q: got error %v, want code AnswerTooLong and fate Ran", id, err)
			}
		}
		if runs := in.runCounts(in.agentList()...)["timber/order-1"]; runs != 1 {
			in.t.Errorf("the request ran %d times, want once", runs)
		}
	})
}

// The entry that owns a claim is killed or cut off while the request is claimed, dispatched or
// running. A caller at another entry must get the answer, and the request must run once.
func TestClaimSurvivesLossOfItsOwner(t *testing.T) {
	for _, cut := range []bool{false, true} {
		for _, after := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("cut %t after %s", cut, after), func(t *testing.T) {
				inVirtualTime(t, func(in *installation) {
					in.start()
					agents := in.agentList()
					owner, other := in.entries["e1"], in.entries["e2"]
					ownerReturned := make(chan struct{})
					go func() {
						defer close(ownerReturned)
						_, _ = in.call(owner, "order-1", "sleep 700ms order", false)
					}()
					time.Sleep(after)
					if cut {
						in.net.Partition("e1", "e2")
						for _, a := range agents {
							in.net.Partition("e1", a.name)
						}
						owner.freezer.Freeze()
					} else {
						in.kill("e1")
					}
					answer, err := in.call(other, "order-1", "sleep 700ms order", false)
					if err != nil || string(answer.Body) != "answer to sleep 700ms order" {
						in.t.Errorf("got answer %q, error %v, want the answer to order", answer.Body, err)
					}
					time.Sleep(10 * time.Second)
					if runs := in.runCounts(agents...)["timber/order-1"]; runs != 1 {
						in.t.Errorf("the request ran %d times, want once", runs)
					}
					owner.freezer.Thaw()
					<-ownerReturned
				})
			})
		}
	}
}

// The owner of a claim is cut off before its order arrives. Another entry considers it dead,
// revokes the order at the agent and runs the request. When the connection is restored, the
// owner must not report that the request did not run.
func TestOwnerConsideredDeadNeverReportsNotRun(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		owner := in.entries["e1"]
		// Open connections from the owner to all agents, so that its order is lost on
		// a connection instead of failing at dial.
		warmUps := make(chan error, 20)
		for range 20 {
			go func() {
				_, err := in.call(owner, "", "sleep 100ms warm", true)
				warmUps <- err
			}()
		}
		for range 20 {
			if err := <-warmUps; err != nil {
				in.t.Fatal(err)
			}
		}
		cutOff := []string{"e2", "a0", "a1", "a2"}
		for _, name := range cutOff {
			in.net.Partition("e1", name)
		}
		type outcome struct {
			answer ledger.Answer
			err    error
		}
		ownerOutcome := make(chan outcome, 1)
		go func() {
			answer, err := in.call(owner, "order-1", "order", false)
			ownerOutcome <- outcome{answer, err}
		}()
		time.Sleep(5 * time.Second)
		answer, err := in.call(in.entries["e2"], "order-1", "order", false)
		if err != nil || string(answer.Body) != "answer to order" {
			in.t.Errorf("the other entry: got answer %q, error %v, want the answer to order", answer.Body, err)
		}
		for _, name := range cutOff {
			in.net.Heal("e1", name)
		}
		o := <-ownerOutcome
		if e := client.AsError(o.err); e != nil && e.Fate == client.FateNotRun {
			in.t.Errorf("the owner: got error %v for a request that ran, want a fate other than NotRun", o.err)
		}
		if o.err == nil && string(o.answer.Body) != "answer to order" {
			in.t.Errorf("the owner: got answer %q, want the answer to order", o.answer.Body)
		}
		if runs := in.runCounts(in.agentList()...)["timber/order-1"]; runs != 1 {
			in.t.Errorf("the request ran %d times, want once", runs)
		}
	})
}

// The agent that runs a request dies. The caller must not wait until the deadline: a request
// that is not repeatable must return the fate Unknown promptly, and a repeatable one must run
// on another agent.
func TestAgentDeathIsReportedPromptly(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		agents := in.agentList()
		type outcome struct {
			err  error
			took time.Duration
		}
		call := func(repeatable bool) <-chan outcome {
			outcomes := make(chan outcome, 1)
			go func() {
				start := time.Now()
				_, err := in.call(in.entries["e1"], "", "sleep 5s slow", repeatable)
				outcomes <- outcome{err, time.Since(start)}
			}()
			return outcomes
		}
		notRepeatable, repeatable := call(false), call(true)
		time.Sleep(time.Second)
		var busy []string
		for _, a := range agents {
			if a.RunningRequests() > 0 {
				busy = append(busy, a.name)
			}
		}
		for _, name := range busy {
			in.killAgent(name)
		}
		if len(in.agents) == 0 {
			in.addAgent("a9", north, 8, 0)
		}
		o := <-notRepeatable
		if e := client.AsError(o.err); e == nil || e.Fate != client.FateUnknown || o.took > 3*time.Second {
			in.t.Errorf("not repeatable: got error %v after %s, want fate Unknown within 3s", o.err, o.took)
		}
		if o := <-repeatable; o.err != nil {
			in.t.Errorf("repeatable: got error %v, want none", o.err)
		}
	})
}

// A burst has many times more requests than there are slots. A refused request must have the
// fate NotRun with a retry delay, and must not run. The slots must be used: at least
// 128 requests must be answered.
func TestRefusedRequestsOfBurstNeverRun(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.document = in.rules("[Limits]\nRequestTime = \"2s\"\nWaitingRequests = 64\n")
		in.start()
		type outcome struct {
			id   string
			err  error
			took time.Duration
		}
		const count = 400
		outcomes := make(chan outcome, count)
		for i := range count {
			entry := in.entries[[]string{"e1", "e2"}[i%2]]
			go func() {
				id := fmt.Sprint("burst-", i)
				start := time.Now()
				_, err := in.call(entry, id, "sleep 200ms burst", false)
				outcomes <- outcome{id, err, time.Since(start)}
			}()
		}
		answered := 0
		var refused []outcome
		for range count {
			o := <-outcomes
			e := client.AsError(o.err)
			switch {
			case o.err == nil:
				answered++
			case e.Fate == client.FateNotRun:
				refused = append(refused, o)
				if e.RetryAfter == 0 {
					in.t.Errorf("%s: refused without a retry delay, want one: %v", o.id, e)
				}
			default:
				in.t.Errorf("%s: got error %v, want an answer or fate NotRun", o.id, o.err)
			}
		}
		runs := in.runCounts(in.agentList()...)
		for _, o := range refused {
			if runs["timber/"+o.id] != 0 {
				in.t.Errorf("%s: refused with fate NotRun, but it ran, want no run", o.id)
			}
		}
		for id, times := range runs {
			if times > 1 {
				in.t.Errorf("%s ran %d times, want at most once", id, times)
			}
		}
		if answered < 128 {
			in.t.Errorf("%d of %d requests were answered, want at least 128", answered, count)
		}
	})
}

// A minion announces that it is leaving while it runs requests. They must be answered, and the
// minion must get no new ones.
func TestLeavingMinionFinishesRequestsAndGetsNoNewOnes(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		outcomes := make(chan error, 20)
		for range 20 {
			go func() {
				_, err := in.call(in.entries["e1"], "", "sleep 3s slow", true)
				outcomes <- err
			}()
		}
		time.Sleep(time.Second)
		leavingAgent := in.agents["a0"]
		before := len(leavingAgent.minion.Runs())
		leavingAgent.announceLeaving()
		for range 40 {
			go func() {
				_, err := in.call(in.entries["e2"], "", "new", true)
				outcomes <- err
			}()
		}
		for range 60 {
			if err := <-outcomes; err != nil {
				in.t.Error(err)
			}
		}
		if after := len(leavingAgent.minion.Runs()); after != before {
			in.t.Errorf("the leaving minion got %d new requests, want none", after-before)
		}
		if before == 0 {
			in.t.Error("the minion ran no request before it was leaving, want at least one")
		}
	})
}

// An entry is leaving while it serves requests with and without an ID. It must no longer be
// ready, but must answer them all.
func TestLeavingEntryFinishesItsRequests(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		leavingEntry := in.entries["e1"]
		outcomes := make(chan error, 20)
		for i := range 20 {
			go func() {
				id := ""
				if i%2 == 0 {
					id = fmt.Sprint("order-", i)
				}
				_, err := in.call(leavingEntry, id, "sleep 2s order", false)
				outcomes <- err
			}()
		}
		time.Sleep(time.Second)
		leavingEntry.AnnounceLeaving(in.t.Context())
		if ready, _ := leavingEntry.Ready(); ready {
			in.t.Error("a leaving entry is ready, want not ready")
		}
		for range 20 {
			if err := <-outcomes; err != nil {
				in.t.Error(err)
			}
		}
	})
}

// The log is down for ten minutes. Requests without an ID must be served. Those with an ID can't
// be claimed and must be refused at once without running, unless their answer is already
// recorded.
func TestLogOutageRefusesOnlyClaimedRequests(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		if _, err := in.call(in.entries["e1"], "before", "order", false); err != nil {
			in.t.Fatal(err)
		}
		in.log.SetFaults(standin.LogFaults{Down: true})
		for i := range 60 {
			if _, err := in.call(in.entries["e2"], "", "free", true); err != nil {
				in.t.Errorf("request %d without an ID: got error %v, want none", i, err)
			}
			start := time.Now()
			_, err := in.call(in.entries["e1"], fmt.Sprint("during-", i), "order", false)
			e := client.AsError(err)
			if e == nil || e.Fate != client.FateNotRun || e.RetryAfter == 0 {
				in.t.Errorf("request %d with an ID: got error %v, want fate NotRun and a retry delay", i, err)
			}
			if took := time.Since(start); took > 100*time.Millisecond {
				in.t.Errorf("request %d with an ID was refused after %s, want at most 100ms", i, took)
			}
			answer, err := in.call(in.entries["e2"], "before", "order", false)
			if err != nil || string(answer.Body) != "answer to order" {
				in.t.Errorf("request from before the outage: got answer %q, error %v, want the answer to order", answer.Body, err)
			}
			time.Sleep(10 * time.Second)
		}
		in.log.SetFaults(standin.LogFaults{})
		in.waitUntil("serve a request with an ID after the outage", 5*time.Second, func() bool {
			_, err := in.call(in.entries["e1"], "after", "order", false)
			return err == nil
		})
		for id, runs := range in.runCounts(in.agentList()...) {
			if runs > 1 || len(id) > 13 && id[:13] == "timber/during" {
				in.t.Errorf("%s ran %d times, want at most once and never during the outage", id, runs)
			}
		}
	})
}

// A repeatable request makes each backend server that runs it close the connection, as one does that crashes.
// It must not be sent to server after server while the retry budget lasts.
func TestRequestThatCrashesServersIsGivenUp(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		for _, a := range in.agentList() {
			a.minion.SetFaults(standin.MinionFaults{CloseConnection: true})
		}
		_, err := in.call(in.entries["e1"], "", "crash", true)
		if e := client.AsError(err); e == nil || e.Fate != client.FateUnknown {
			in.t.Errorf("got error %v, want fate Unknown", err)
		}
		runs := 0
		for _, a := range in.agentList() {
			for _, n := range a.minion.Runs() {
				runs += n
			}
		}
		if runs > 2 {
			in.t.Errorf("got %d runs, want at most 2", runs)
		}
	})
}
