package bed

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Key is the key of the only tenant.
const Key = "key-a"

// Queue is the path prefix of the only route.
const Queue = "/queue-a/"

// Configure stores the first config, as the operator does.
func (b *Bed) Configure() error {
	return b.Store.Put("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-a", "host": "jobs.example", "path_prefix": Queue, "service": "service-a", "priority": 1, "max_attempts": 3,
			"stretch": 3.0, "target_latency_ms": 1000,
		}},
		"services": []any{map[string]any{"name": "service-a", "rejects_overload": false}},
		"tenants":  []any{map[string]any{"name": "tenant-a", "api_keys": []string{Key}, "guaranteed": map[string]int{"gpus": 4}}},
	})
}

// Step is a step of a job.
type Step struct {
	TaskCount  int `json:"task_count"`
	CPU        int `json:"cpu"`
	MemMB      int `json:"mem_mb"`
	GPUs       int `json:"gpus"`
	EstimateMS int `json:"estimate_ms"`
	// AntiAffinity is the largest number of tasks of the step on a minion, 0 for no limit.
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Requires     string `json:"requires,omitempty"`
}

// Job is the body of a call that submits a job.
type Job struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// StartTimeMS is when the only occurrence is due, 0 for at once.
	StartTimeMS int64 `json:"start_time_ms,omitempty"`
}

// Answer is the answer to a call. Status is 0 if there was none.
type Answer struct {
	Status int
	State  string
}

// Call makes a call to the entry of a machine and writes it into the record, except queries that are answered with 200.
func (b *Bed) Call(entry Machine, method, id string, body any) Answer {
	return b.CallWithin(3*time.Second, entry, method, id, body)
}

// CallWithin is Call for a caller that leaves after the time.
func (b *Bed) CallWithin(patience time.Duration, entry Machine, method, id string, body any) Answer {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	ctx, cancel := context.WithTimeout(b.ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.Address(string(entry)+" front")+Queue+id, bytes.NewReader(data))
	if err != nil {
		return Answer{}
	}
	request.Host = "jobs.example"
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Corianderpass-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Note("%s %s at %s: no answer", method, id, entry)
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }()
	a := Answer{Status: response.StatusCode}
	_ = json.NewDecoder(response.Body).Decode(&a)
	a.Status = response.StatusCode
	if method != http.MethodGet || a.Status != http.StatusOK {
		b.Note("%s %s at %s: %d", method, id, entry, a.Status)
	}
	return a
}

// Submit submits a job until it is accepted, as a caller that repeats its call. It reports whether it was accepted.
func (b *Bed) Submit(entry Machine, id string, job Job, within time.Duration) bool {
	return b.Wait(within, func() bool {
		status := b.Call(entry, http.MethodPost, id, job).Status
		if status != http.StatusOK {
			b.Sleep(300 * time.Millisecond)
		}
		return status == http.StatusOK
	})
}

// Ready reports whether the entry answers its readiness check with 200.
func (b *Bed) Ready(entry Machine) bool {
	response, err := http.Get("http://" + b.Address(string(entry)+" ready") + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
