// Package bed is a small deployment for the cases of a review: a stand-in of the users' store, of their
// minions and their callers, and the project's own programs as separate processes on loopback addresses.
package bed

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Machine is the name of a machine of the deployment. Each machine has its own address of the store.
type Machine string

// Write is one append call.
type Write struct {
	Machine Machine
	Topic   string
	Records [][]byte
}

// Disturbance tells how the store treats a call. The zero value is a sound answer.
type Disturbance struct {
	// Late is how long after its arrival an append is carried out. It is never answered then.
	Late time.Duration
	// Slow is how long the store takes for the answer.
	Slow time.Duration
}

// Store is the users' store: a log with keyed topics. The zero value is empty. Set the functions before use.
type Store struct {
	// OnWrite returns the disturbance of an append, OnRead that of a read, and OnNewest that of a page of the newest
	// records, which begins after the key. nil means none.
	OnWrite  func(Write) Disturbance
	OnRead   func(m Machine, topic string) Disturbance
	OnNewest func(m Machine, topic, after string) Disturbance

	mu     sync.Mutex
	topics map[string]*topic
}

// topic is a topic with one partition.
type topic struct {
	records [][]byte
	changed chan struct{}
}

const (
	// answerTime is how long a sound store takes for an answer.
	answerTime = 4 * time.Millisecond
	// maxPageItems and maxPageBytes limit a page of the newest records.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// keyedPrefix begins the names of topics whose records have keys.
	keyedPrefix = "keyed."
)

func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends the records and returns the offset of the first one and the end.
func (s *Store) add(name string, records [][]byte) (first, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first = len(t.records)
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return first, len(t.records)
}

// Put appends a record with a key, as the operator does.
func (s *Store) Put(name, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("bed: put %s: %w", key, err)
	}
	record := append([]byte{byte(len(key))}, key...)
	s.add(name, [][]byte{append(record, data...)})
	return nil
}

// Handler returns the handler for the calls of one machine.
func (s *Store) Handler(m Machine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(w, r, m) })
	mux.HandleFunc("GET /log-read", func(w http.ResponseWriter, r *http.Request) { s.serveRead(w, r, m) })
	mux.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) { s.serveNewest(w, r, m) })
	return mux
}

// splitRecords splits the body of an append.
func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
			return nil, false
		}
		end := 4 + int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:end])
		body = body[end:]
	}
	return records, true
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, m Machine) {
	name := r.URL.Query().Get("topic")
	body, err := io.ReadAll(r.Body)
	records, ok := splitRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var d Disturbance
	if s.OnWrite != nil {
		d = s.OnWrite(Write{m, name, records})
	}
	if d.Late > 0 {
		time.AfterFunc(d.Late, func() { s.add(name, records) })
		<-r.Context().Done()
		return
	}
	wait(r.Context(), answerTime+d.Slow)
	first, end := s.add(name, records)
	writeJSON(w, map[string]int{"offset": first, "end": end})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// number returns a number of the query, 0 if it is missing.
func number(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, m Machine) {
	var d Disturbance
	if s.OnRead != nil {
		d = s.OnRead(m, r.URL.Query().Get("topic"))
	}
	wait(r.Context(), answerTime+d.Slow)
	from, limit := number(r, "from"), cmp.Or(number(r, "max_kb"), 1024)<<10
	timeout := time.NewTimer(time.Duration(min(number(r, "wait_ms"), 30000)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		all, changed := t.records, t.changed
		s.mu.Unlock()
		if from < len(all) || !waiting {
			_, _ = w.Write(encodeRead(all, from, limit))
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRead encodes the answer to a read: the end, the first offset, and at least one record if there is one.
func encodeRead(all [][]byte, from, limit int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	body = binary.BigEndian.AppendUint64(body, 0)
	size := 0
	for _, record := range all[min(from, len(all)):] {
		if size > 0 && size+len(record) > limit {
			break
		}
		size += len(record)
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body
}

// item is a record of a page of the newest records.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request, m Machine) {
	name, after := r.URL.Query().Get("topic"), r.URL.Query().Get("depends_on")
	var d Disturbance
	if s.OnNewest != nil {
		d = s.OnNewest(m, name, after)
	}
	wait(r.Context(), answerTime+d.Slow)
	items, end := s.newest(name)
	var page []item
	size := 0
	for _, i := range items {
		if i.Key <= after {
			continue
		}
		if len(page) == maxPageItems || len(page) > 0 && size+len(i.Value) > maxPageBytes {
			writeJSON(w, map[string]any{"items": page, "truncated": true, "end": end})
			return
		}
		size += len(i.Value)
		page = append(page, i)
	}
	writeJSON(w, map[string]any{"items": slices.Concat([]item{}, page), "truncated": false, "end": end})
}

// Keys returns the number of keys in a topic.
func (s *Store) Keys(name string) int {
	items, _ := s.newest(name)
	return len(items)
}

// newest returns the newest record of each key of a topic in the order of the keys, and the end of the topic.
func (s *Store) newest(name string) ([]item, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]item{}
	records := s.topic(name).records
	if !strings.HasPrefix(name, keyedPrefix) {
		return nil, len(records)
	}
	for offset, record := range records {
		end := 1 + int(record[0])
		key := string(record[1:end])
		if len(record) == end {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(record[end:]), offset}
	}
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return items, len(records)
}

// wait waits until the time has passed or the context ends.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
