package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/membership"
	"corianderpass/internal/version/bundle"
)

func heartbeat(id string, sequence uint64, age time.Duration) membership.Heartbeat {
	return membership.Heartbeat{
		Member: membership.Member{ID: incarnation.ID(id), Role: membership.RoleEntry, Region: "r"},
		Health: membership.Health{Sequence: sequence}, Age: age,
	}
}

// requireAlive fails the test unless process a counts as alive, or as dead, at the moment that when
// describes.
func requireAlive(t *testing.T, d *membership.Directory, want bool, when string) {
	t.Helper()
	if got := d.IsAlive("a"); got != want {
		t.Fatalf("%s: got alive %v, want %v", when, got, want)
	}
}

// Entries forward heartbeats to each other, so that a heartbeat can arrive again after its
// sender has died. A heartbeat that is not newer, or is as old as the timeout, must not
// make the process count as alive.
func TestOldHeartbeatDoesNotReviveMember(t *testing.T) {
	d := membership.Directory{HomeRegion: "r"}
	now := time.Now()
	d.Update(now, heartbeat("a", 5, 0))
	requireAlive(t, &d, true, "after a heartbeat")
	now = now.Add(membership.HomeEntryTimeout)
	d.Sweep(now)
	requireAlive(t, &d, false, "after the timeout without a heartbeat")
	d.Update(now, heartbeat("a", 5, 0), heartbeat("a", 4, 0))
	requireAlive(t, &d, false, "after a heartbeat that is not newer")
	d.Update(now, heartbeat("a", 6, membership.HomeEntryTimeout))
	requireAlive(t, &d, false, "after a heartbeat as old as the timeout")
	d.Update(now, heartbeat("a", 7, time.Second))
	requireAlive(t, &d, true, "after a new heartbeat")
}

// Another entry forwards the last heartbeat of a process that has been marked as dead meanwhile,
// since it noticed the death later. The process must stay dead, and a heartbeat that it sends
// afterwards must make it alive again.
func TestForwardedHeartbeatDoesNotReviveProcessMarkedDead(t *testing.T) {
	d := membership.Directory{HomeRegion: "r"}
	now := time.Now()
	d.Update(now, heartbeat("a", 5, 0))
	now = now.Add(time.Second)
	d.MarkDead(now, "a")
	d.Update(now, heartbeat("a", 6, 500*time.Millisecond))
	requireAlive(t, &d, false, "after a forwarded heartbeat from before the death")
	d.Touch(now, "a", 100*time.Millisecond, 1)
	requireAlive(t, &d, false, "after a touch from before the death")
	d.Update(now.Add(time.Second), heartbeat("a", 7, 100*time.Millisecond))
	requireAlive(t, &d, true, "after a heartbeat that was sent later")
}

// A digest arrives late and has a newer sequence, but was sent before a heartbeat without one was
// recorded. It must not make the process time out earlier.
func TestLateDigestDoesNotMoveLastHeartbeatBack(t *testing.T) {
	d := membership.Directory{HomeRegion: "r"}
	now := time.Now()
	d.Update(now, heartbeat("a", 5, 0))
	now = now.Add(2 * time.Second)
	d.Touch(now, "a", 0, 1)
	d.Update(now, heartbeat("a", 6, 1500*time.Millisecond))
	now = now.Add(2 * time.Second)
	d.Sweep(now)
	requireAlive(t, &d, true, "2s after the last heartbeat")
}

// Removing a member must not change the order of the other members, or keys would move
// between members that remain. RankOf must agree with Rank.
func TestRankKeepsOrderOfRemainingMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []membership.Heartbeat
		for i := range rapid.IntRange(2, 12).Draw(t, "members") {
			members = append(members, heartbeat(fmt.Sprint("m", i), 1, 0))
		}
		key := rapid.String().Draw(t, "key")
		ranked := membership.Rank(key, members)
		for i, m := range ranked {
			if got := membership.RankOf(key, members, m.ID); got != i {
				t.Fatalf("%s is at index %d of Rank, want the same from RankOf, got %d", m.ID, i, got)
			}
		}
		removed := rapid.IntRange(0, len(ranked)-1).Draw(t, "gone")
		var remaining []membership.Heartbeat
		for i, m := range ranked {
			if i != removed {
				remaining = append(remaining, m)
			}
		}
		for i, m := range membership.Rank(key, remaining) {
			if m.ID != remaining[i].ID {
				t.Fatal("removing a member changed the order of the other members, want it unchanged")
			}
		}
	})
}

// Heartbeats of agents and of entries in other regions arrive less often than those of
// entries in the own region. With the short timeout these processes would count as dead
// between two heartbeats.
func TestAgentsAndOtherRegionsHaveLongerTimeout(t *testing.T) {
	d := membership.Directory{HomeRegion: "r"}
	now := time.Now()
	far, agent := heartbeat("far", 1, 0), heartbeat("agent", 1, 0)
	far.Region = "s"
	agent.Role = membership.RoleAgent
	d.Update(now, heartbeat("near", 1, 0), far, agent)
	d.Sweep(now.Add(membership.HomeEntryTimeout))
	if d.IsAlive("near") || !d.IsAlive("far") || !d.IsAlive("agent") {
		t.Errorf("after %s got alive %v, want far and agent", membership.HomeEntryTimeout, d.Alive())
	}
	d.Sweep(now.Add(membership.DefaultTimeout))
	if len(d.Alive()) > 0 {
		t.Errorf("after %s got alive %v, want none", membership.DefaultTimeout, d.Alive())
	}
}

// Member IDs differ only in a few bytes. A hash that does not spread such IDs would rank one
// entry first for most keys and overload it.
func TestRankSpreadsKeysEvenly(t *testing.T) {
	var members []membership.Heartbeat
	for i := range 4 {
		members = append(members, heartbeat(fmt.Sprintf("entry%d.1796337437072.ab", i), 1, 0))
	}
	firstCount := map[incarnation.ID]int{}
	const keys = 4000
	for i := range keys {
		firstCount[membership.Rank(fmt.Sprint("o/job", i), members)[0].ID]++
	}
	for id, n := range firstCount {
		if n < keys/4*8/10 || n > keys/4*12/10 {
			t.Errorf("%s is first for %d of %d keys, want a quarter within 20%%", id, n, keys)
		}
	}
}

// Digests are lost and the remote entry is replaced at random, so that the two sessions
// disagree on which numbers stand for which processes. Once two digests in a row arrive, the
// remote directory must contain all processes with their current versions.
func TestSessionRecoversFromLostDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var local, remote membership.Session
		directory := &membership.Directory{}
		now := time.Now()
		sequence := uint64(0)
		buildDigest := func(leaving bool) membership.Digest {
			sequence++
			heartbeats := []membership.Heartbeat{heartbeat("entry", sequence, 0)}
			heartbeats[0].Version = bundle.Version(sequence)
			for i := range 5 {
				h := heartbeat(fmt.Sprint("agent", i), sequence, 0)
				h.Leaving = leaving && i == 0
				h.Version = bundle.Version(sequence) - bundle.Version(i%2)
				heartbeats = append(heartbeats, h)
			}
			return local.BuildDigest("entry", bundle.Version(sequence), heartbeats)
		}
		replySequence := uint64(0)
		reply := func() {
			replySequence++
			other := fmt.Sprint("other", replySequence/100)
			local.ApplyDigest(now, remote.BuildDigest(incarnation.ID(other), 0, []membership.Heartbeat{heartbeat(other, replySequence, 0)}), &membership.Directory{})
		}
		for range rapid.IntRange(0, 20).Draw(t, "rounds") {
			now = now.Add(time.Second)
			d := buildDigest(false)
			switch rapid.IntRange(0, 3).Draw(t, "fate") {
			case 0: // The digest is lost and the sender resets its session.
				local = membership.Session{}
			case 1: // The remote entry is replaced.
				remote, directory = membership.Session{}, &membership.Directory{}
			default:
				remote.ApplyDigest(now, d, directory)
				reply()
			}
		}
		for range 2 {
			now = now.Add(time.Second)
			remote.ApplyDigest(now, buildDigest(true), directory)
			reply()
		}
		for i, name := range []incarnation.ID{"agent0", "agent1", "entry"} {
			want := bundle.Version(sequence) - bundle.Version(i%2)
			if h, _ := directory.Find(name); h.Version != want {
				t.Fatalf("%s has version %d in the remote directory, want %d", name, h.Version, want)
			}
		}
		if !directory.IsAlive("entry") {
			t.Fatal("got a dead sender in the remote directory, want it alive")
		}
		for i := range 5 {
			if !directory.IsAlive(incarnation.ID(fmt.Sprint("agent", i))) {
				t.Fatalf("got agent %d dead in the remote directory, want it alive", i)
			}
		}
		if first, _ := directory.Find("agent0"); !first.Leaving {
			t.Fatal("got agent0 without Leaving in the remote directory, want it set")
		}
	})
}
