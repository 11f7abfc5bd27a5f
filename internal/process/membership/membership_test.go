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

func beat(id string, sequence uint64, age time.Duration) membership.Heartbeat {
	return membership.Heartbeat{
		Member: membership.Member{ID: incarnation.ID(id), Role: membership.RoleEntry, Region: "r"},
		Health: membership.Health{Sequence: sequence}, Age: age,
	}
}

func TestOldNewsBringsNobodyBack(t *testing.T) {
	d := membership.Directory{HomeRegion: "r"}
	now := time.Now()
	d.Update(now, beat("a", 5, 0))
	if !d.IsAlive("a") {
		t.Fatal("not alive after its heartbeat")
	}
	now = now.Add(membership.HomeEntryTimeout)
	d.Sweep(now)
	if d.IsAlive("a") {
		t.Fatal("alive without heartbeats")
	}
	d.Update(now, beat("a", 5, 0), beat("a", 4, 0))
	if d.IsAlive("a") {
		t.Fatal("an old heartbeat that came round again brought it back")
	}
	d.Update(now, beat("a", 6, membership.HomeEntryTimeout))
	if d.IsAlive("a") {
		t.Fatal("a heartbeat as old as its lifetime counts")
	}
	d.Update(now, beat("a", 7, time.Second))
	if !d.IsAlive("a") {
		t.Fatal("not alive after fresh news")
	}
}

// A member that comes or goes moves only the keys that it holds itself.
func TestRankMovesOnlyWhatItMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []membership.Heartbeat
		for i := range rapid.IntRange(2, 12).Draw(t, "members") {
			members = append(members, beat(fmt.Sprint("m", i), 1, 0))
		}
		key := rapid.String().Draw(t, "key")
		ranked := membership.Rank(key, members)
		for i, m := range ranked {
			if got := membership.RankOf(key, members, m.ID); got != i {
				t.Fatalf("%s ranks %d, RankOf says %d", m.ID, i, got)
			}
		}
		gone := rapid.IntRange(0, len(ranked)-1).Draw(t, "gone")
		var rest []membership.Heartbeat
		for i, m := range ranked {
			if i != gone {
				rest = append(rest, m)
			}
		}
		for i, m := range membership.Rank(key, rest) {
			if m.ID != rest[i].ID {
				t.Fatal("the others changed places")
			}
		}
	})
}

func TestAgentsAndOtherRegionsLiveLonger(t *testing.T) {
	d := membership.Directory{HomeRegion: "r"}
	now := time.Now()
	far, agent := beat("far", 1, 0), beat("agent", 1, 0)
	far.Region = "s"
	agent.Role = membership.RoleAgent
	d.Update(now, beat("near", 1, 0), far, agent)
	d.Sweep(now.Add(membership.HomeEntryTimeout))
	if d.IsAlive("near") || !d.IsAlive("far") || !d.IsAlive("agent") {
		t.Errorf("alive after %s: %v", membership.HomeEntryTimeout, d.Alive())
	}
	d.Sweep(now.Add(membership.DefaultTimeout))
	if len(d.Alive()) > 0 {
		t.Errorf("alive after %s: %v", membership.DefaultTimeout, d.Alive())
	}
}

func TestRankSpreadsKeys(t *testing.T) {
	var members []membership.Heartbeat
	for i := range 4 {
		members = append(members, beat(fmt.Sprintf("entry%d.1796337437072.ab", i), 1, 0))
	}
	first := map[incarnation.ID]int{}
	const keys = 4000
	for i := range keys {
		first[membership.Rank(fmt.Sprint("o/job", i), members)[0].ID]++
	}
	for id, n := range first {
		if n < keys/4*8/10 || n > keys/4*12/10 {
			t.Errorf("%s is first for %d of %d keys", id, n, keys)
		}
	}
}

// The failure: digests are lost and the other side is replaced at any moment. As
// long as some digest gets through, the other side knows who is alive.
func TestAConversationRecoversFromAnyLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var here, there membership.Session
		directory := &membership.Directory{}
		now := time.Now()
		sequence := uint64(0)
		tell := func(leaving bool) membership.Digest {
			sequence++
			beats := []membership.Heartbeat{beat("entry", sequence, 0)}
			beats[0].Version = bundle.Version(sequence)
			for i := range 5 {
				b := beat(fmt.Sprint("agent", i), sequence, 0)
				b.Leaving = leaving && i == 0
				b.Version = bundle.Version(sequence) - bundle.Version(i%2)
				beats = append(beats, b)
			}
			return here.BuildDigest("entry", bundle.Version(sequence), beats)
		}
		replaced := uint64(0)
		answer := func() {
			replaced++
			other := fmt.Sprint("other", replaced/100)
			here.ApplyDigest(now, there.BuildDigest(incarnation.ID(other), 0, []membership.Heartbeat{beat(other, replaced, 0)}), &membership.Directory{})
		}
		for range rapid.IntRange(0, 20).Draw(t, "rounds") {
			now = now.Add(time.Second)
			d := tell(false)
			switch rapid.IntRange(0, 3).Draw(t, "fate") {
			case 0: // The digest is lost, which the sender notices.
				here = membership.Session{}
			case 1: // The other side is replaced.
				there, directory = membership.Session{}, &membership.Directory{}
			default:
				there.ApplyDigest(now, d, directory)
				answer()
			}
		}
		for range 2 {
			now = now.Add(time.Second)
			there.ApplyDigest(now, tell(true), directory)
			answer()
		}
		for i, name := range []incarnation.ID{"agent0", "agent1", "entry"} {
			want := bundle.Version(sequence) - bundle.Version(i%2)
			if b, _ := directory.Find(name); b.Version != want {
				t.Fatalf("%s has version %d there, want %d", name, b.Version, want)
			}
		}
		if !directory.IsAlive("entry") {
			t.Fatal("the sender is not known to be alive")
		}
		for i := range 5 {
			if !directory.IsAlive(incarnation.ID(fmt.Sprint("agent", i))) {
				t.Fatalf("agent %d is not known to be alive", i)
			}
		}
		if first, _ := directory.Find("agent0"); !first.Leaving {
			t.Fatal("a change was not told")
		}
	})
}
