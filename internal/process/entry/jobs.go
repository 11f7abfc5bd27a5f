package entry

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
	"corianderpass/pkg/platform"
)

// methodJob performs a jobCall at an entry of the organisation's home region.
const methodJob link.Method = "Caller.Job"

// verb is the operation of a jobCall.
type verb string

const (
	verbSubmit verb = "Submit"
	verbRead   verb = "Read"
	verbList   verb = "List"
	verbCancel verb = "Cancel"
)

// jobCall is one operation on an organisation's jobs. ID is unset for verbList, and Job is
// only set for verbSubmit.
type jobCall struct {
	Verb         verb
	Organisation bundle.OrganisationName
	ID           string     `json:",omitempty"`
	Job          client.Job `json:",omitempty"`
}

// jobAnswer is the result of a jobCall: the status of the jobs, or Error.
type jobAnswer struct {
	Jobs  []client.JobStatus `json:",omitempty"`
	Error *client.Error      `json:",omitempty"`
}

// SubmitJob submits a job and returns its status. If the same job was already submitted, it
// returns the status of that one.
func (e *Entry) SubmitJob(ctx context.Context, o bundle.Organisation, j client.Job) (client.JobStatus, error) {
	if j.ID == "" || strings.ContainsAny(j.ID, "/# \t\n") || len(j.ID) > 128 {
		return client.JobStatus{}, notRunError(client.CodeInvalid, 0, "ID must have 1 to 128 characters without spaces, slashes and number signs")
	}
	return firstJob(e.routeJobCall(ctx, o, jobCall{Verb: verbSubmit, Organisation: o.Name, ID: j.ID, Job: j}))
}

// Job returns a job's status.
func (e *Entry) Job(ctx context.Context, o bundle.Organisation, id string) (client.JobStatus, error) {
	return firstJob(e.routeJobCall(ctx, o, jobCall{Verb: verbRead, Organisation: o.Name, ID: id}))
}

// Jobs returns the status of all jobs of the organisation that are in the ledger.
func (e *Entry) Jobs(ctx context.Context, o bundle.Organisation) ([]client.JobStatus, error) {
	return e.routeJobCall(ctx, o, jobCall{Verb: verbList, Organisation: o.Name})
}

// CancelJob cancels a job and returns its status. It has no effect on a job that has ended.
func (e *Entry) CancelJob(ctx context.Context, o bundle.Organisation, id string) (client.JobStatus, error) {
	return firstJob(e.routeJobCall(ctx, o, jobCall{Verb: verbCancel, Organisation: o.Name, ID: id}))
}

func firstJob(jobs []client.JobStatus, err error) (client.JobStatus, error) {
	if err != nil {
		return client.JobStatus{}, err
	}
	return jobs[0], nil
}

// routeJobCall performs the call in this process if this is the organisation's home region,
// else at an entry of the home region.
func (e *Entry) routeJobCall(ctx context.Context, o bundle.Organisation, q jobCall) ([]client.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if o.HomeRegion == e.settings.Region {
		return e.doJobCall(ctx, q)
	}
	sent := false
	for _, m := range membership.Rank(q.ID, e.directory.Entries(o.HomeRegion)) {
		answer, err := link.Call[jobAnswer](ctx, e.pool, m.Address, methodJob, q)
		if err == nil && answer.Error != nil {
			return nil, answer.Error
		}
		if err == nil {
			return answer.Jobs, nil
		}
		sent = sent || !errors.Is(err, link.ErrNotSent)
	}
	if sent {
		return nil, &client.Error{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: "no answer from the home region; retry with the same ID", RetryAfter: notReadyRetryAfter}
	}
	return nil, notRunError(client.CodeNotReady, logDownRetryAfter, "no entry of the home region "+string(o.HomeRegion)+" is reachable")
}

// handleJob handles methodJob.
func (e *Entry) handleJob(ctx context.Context, q jobCall) (jobAnswer, error) {
	jobs, err := e.doJobCall(ctx, q)
	if err != nil {
		return jobAnswer{Error: clientError(err)}, nil
	}
	return jobAnswer{Jobs: jobs}, nil
}

// doJobCall performs the call on this process's ledger.
func (e *Entry) doJobCall(ctx context.Context, q jobCall) ([]client.JobStatus, error) {
	if !e.ledger.HasState() {
		return nil, notRunError(client.CodeNotReady, notReadyRetryAfter, "this entry has not loaded the ledger yet")
	}
	id := ledger.NewJobID(q.Organisation, q.ID)
	switch q.Verb {
	case verbSubmit:
		return e.submitLocal(ctx, id, q.Job)
	case verbCancel:
		err := e.propose(ctx, ledger.Record{Cancel: &ledger.Cancel{Job: id}})
		if err != nil && !errors.Is(err, ledger.ErrNoChange) {
			return nil, clientError(err)
		}
	case verbList:
		return e.listLocal(q.Organisation), nil
	}
	return e.readLocal(id)
}

func (e *Entry) submitLocal(ctx context.Context, id ledger.JobID, j client.Job) ([]client.JobStatus, error) {
	err := e.propose(ctx, ledger.Record{Submit: &ledger.Submit{Spec: specOf(id, j)}})
	if err != nil && !errors.Is(err, ledger.ErrJobExists) {
		return nil, clientError(err)
	}
	return e.readLocal(id)
}

// specOf converts a caller's job. Without a class it becomes a batch job. Where Preemptible is
// not set, the job is preemptible unless RunOnce is set.
func specOf(id ledger.JobID, j client.Job) ledger.Spec {
	spec := ledger.Spec{
		ID: id, Class: ledger.Class(j.Class), Tasks: j.Tasks, Accelerators: j.Accelerators,
		Cores: platform.Cores(j.Cores), Memory: platform.Megabytes(j.Memory), RunTime: j.RunTime,
		RunOnce: j.RunOnce, Preemptible: !j.RunOnce, Command: j.Command,
	}
	if spec.Class == "" {
		spec.Class = ledger.ClassBatch
	}
	if j.Preemptible != nil {
		spec.Preemptible = *j.Preemptible
	}
	return spec
}

func (e *Entry) readLocal(id ledger.JobID) ([]client.JobStatus, error) {
	var found []client.JobStatus
	e.ledger.View(func(time.Time) {
		if j := e.state.Job(id); j != nil {
			found = append(found, e.jobStatus(j))
		}
	})
	if found == nil {
		return nil, notRunError(client.CodeNotFound, 0, "no such job, or it ended too long ago")
	}
	return found, nil
}

func (e *Entry) listLocal(name bundle.OrganisationName) []client.JobStatus {
	found := []client.JobStatus{}
	e.ledger.View(func(time.Time) {
		for _, j := range e.state.Jobs(func(j *ledger.Job) bool { return j.ID.Organisation() == name }) {
			found = append(found, e.jobStatus(j))
		}
	})
	return found
}

func (e *Entry) jobStatus(j *ledger.Job) client.JobStatus {
	_, localID, _ := strings.Cut(string(j.ID), "/")
	s := client.JobStatus{
		ID: localID, Region: string(e.settings.Region), Class: string(j.Class), Phase: string(j.Phase),
		Outcome: string(j.Outcome), Error: j.Error, Kind: string(j.Kind), Epoch: uint64(j.Epoch),
		Submitted: j.Submitted, Started: j.Started, Ended: j.Ended, Progress: j.Progress,
		Preemptions: j.Preemptions, Cancelled: j.Cancelled,
	}
	for _, a := range j.Assignments {
		s.Tasks = append(s.Tasks, client.TaskPlace{Worker: string(a.Worker), Accelerators: uint64(a.Accelerators)})
	}
	return s
}
