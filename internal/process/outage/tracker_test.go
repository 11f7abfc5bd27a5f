package outage_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/outage"
)

const second = time.Second

// endedOutages returns a tracker that has observed outages of these lengths, and the time of the last success.
func endedOutages(lengths ...time.Duration) (*outage.Tracker, time.Duration) {
	t, now := &outage.Tracker{}, time.Hour
	t.Observe(now, outage.Succeeded)
	for _, l := range lengths {
		t.Observe(now, outage.Refused)
		now += l
		t.Observe(now, outage.Succeeded)
	}
	return t, now
}

// The failure: callers use up their retries before the log is back, because the entry tells them to
// come back too early in an outage of unknown length or with a history that misleads. Outages last up to
// 10 s, began up to a second after the last success, and their begin may be noticed only at the arrival of the
// call, their end 0.3 s late.
func TestCallersDoNotUseUpRetriesInOutageOfUnknownLength(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.IntRange(0, int(most.Milliseconds())).Draw(t, name)) * time.Millisecond
		}
		var history []time.Duration
		for range rapid.IntRange(0, 10).Draw(t, "earlier outages") {
			history = append(history, draw("earlier", 15*second))
		}
		tracker, lastSuccess := endedOutages(history...)
		began := lastSuccess + draw("idle", second)
		end := began + draw("length", 10*second)
		now := began + draw("arrival", 10*second)
		tracker.Observe(now-draw("noticed", now-began), outage.Refused)
		priority := outage.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
		for range outage.Attempts {
			deadline := now + 2850*time.Millisecond
			for now < end+300*time.Millisecond && tracker.ShouldWait(now, deadline) {
				now += 50 * time.Millisecond
			}
			if now >= end {
				return
			}
			now += tracker.RetryAfter(now, priority, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		}
		t.Fatalf("all attempts were refused; outage of %v, history %v", end-began, history)
	})
}

// The failure: calls wait for a log that is expected back too late, or are refused though it is expected in
// time; callers retry all at once, urgent ones behind others, or far later than an outage usually ends.
func TestWaitAndRetryFollowElapsedTimeAndHistory(t *testing.T) {
	for _, c := range []struct {
		name               string
		history            []time.Duration
		elapsed, remaining time.Duration
		waits              bool
		urgentRetry        time.Duration
	}{
		{"just begun", nil, 100 * time.Millisecond, 200 * time.Millisecond, true, second},
		{"as long again", nil, 2 * second, 2 * second, true, 2 * second},
		{"expected after the deadline", nil, 3 * second, 3 * second, false, 2 * second},
		{"at most the planned length", nil, 9 * second, second, true, 2 * second},
		{"longer than planned", nil, 20 * second, 5 * second, false, 5 * second},
		{"earlier outages were longer", []time.Duration{4500 * time.Millisecond, 4500 * time.Millisecond}, 500 * time.Millisecond, 2833 * time.Millisecond, false, 3 * second},
		{"earlier outages were shorter", []time.Duration{second, second}, 2 * second, 2 * second, true, 2 * second},
		{"earlier outages were much longer", []time.Duration{time.Minute}, 2 * second, 30 * second, false, 5 * second},
	} {
		tracker, began := endedOutages(c.history...)
		tracker.Observe(began, outage.NoAnswer)
		now := began + c.elapsed
		if remaining, waits := tracker.Remaining(now).Truncate(time.Millisecond), tracker.ShouldWait(now, now+2850*time.Millisecond); remaining != c.remaining || waits != c.waits {
			t.Errorf("%s: got %v remaining and wait %t, want %v and %t", c.name, remaining, waits, c.remaining, c.waits)
		}
		for random, want := range map[float64]time.Duration{0: 0, 0.49: 0, 0.5: second, 0.99: second} {
			urgent, other := tracker.RetryAfter(now, 0, random), tracker.RetryAfter(now, 1, random)
			if urgent != c.urgentRetry || other != urgent+want {
				t.Errorf("%s: got retries after %v and, if not urgent, %v, want %v and %v more", c.name, urgent, other, c.urgentRetry, want)
			}
		}
	}
}

// The failure: a read that was sent before the outage ends it, or the length that is learned is wrong. The last
// success shows that the log was available for at most a second after it.
func TestOldSuccessDoesNotEndOutage(t *testing.T) {
	tracker, lastSuccess := endedOutages()
	began := tracker.Observe(lastSuccess+3*second, outage.NoAnswer)
	old, ended := tracker.Observe(lastSuccess, outage.Succeeded), tracker.Observe(lastSuccess+5*second, outage.Succeeded)
	if o, _ := tracker.Newest(); began != outage.Began || old != outage.NoChange || ended != outage.Ended || o.Length != 4*second {
		t.Errorf("got changes %v, %v and %v and outage %+v, want Began, NoChange, Ended and a length of 4s", began, old, ended, o)
	}
}
