// Package timeline reads the logs of entries and agents on the users' platform and accounts for the time and
// work of jobs: which stages a job went through, which of them took long and why, and which work was thrown
// away. It reads lines in any order, keeps a bounded number of jobs and needs no other input. The command
// "corianderpass explain" prints its results.
package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// errNoLine means that the text has no JSON object, such as an empty line.
var errNoLine = errors.New("timeline: no log line")

// line is one log line. Fields that a line lacks are zero.
type line struct {
	Message  string    `json:"@message"`
	Time     time.Time `json:"@timestamp"`
	Node     string    `json:"node"`
	Job      string    `json:"job"`
	Queue    string    `json:"queue"`
	Method   string    `json:"method"`
	Status   int       `json:"status"`
	MS       float64   `json:"ms"`
	Steps    []string  `json:"steps"`
	Stretch  float64   `json:"stretch"`
	TargetMS float64   `json:"target_ms"`
	Task     string    `json:"task"`
	Worker   string    `json:"worker"`
	Workers  workers   `json:"workers"`
	Run      int       `json:"run"`
	How      string    `json:"how"`
	RanMS    float64   `json:"ran_ms"`
	Reason   string    `json:"reason"`
	Cause    string    `json:"cause"`
	Outcome  string    `json:"outcome"`
	Failure  string    `json:"failure"`
	Runs     lostRuns  `json:"runs"`
	// Error is the text of an error, or an object for other types; null if there was none.
	Error json.RawMessage `json:"error"`
}

// parseLine parses a line. Text before the JSON object is ignored: collectors of logs put times and names of
// processes there.
func parseLine(text []byte) (line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, errNoLine
	}
	var l line
	if err := json.Unmarshal(text[start:], &l); err != nil {
		return line{}, fmt.Errorf("timeline: %w", err)
	}
	if l.Time.IsZero() || l.Message == "" {
		return line{}, errors.New("timeline: the line has no time or no message")
	}
	return l, nil
}

// failed reports whether the line has an error.
func (l line) failed() bool { return len(l.Error) > 0 && string(l.Error) != "null" }

// errorText returns the error as text, shortened to one that fits into a report.
func (l line) errorText() string {
	const maxLength = 120
	text := string(l.Error)
	if unquoted, err := strconv.Unquote(text); err == nil {
		text = unquoted
	}
	if len(text) > maxLength {
		text = text[:maxLength] + "..."
	}
	return text
}

// workers has the names of workers. Some lines have their number in the field instead.
type workers []string

// UnmarshalJSON implements json.Unmarshaler.
func (w *workers) UnmarshalJSON(data []byte) error { return unmarshalList((*[]string)(w), data) }

// lostRuns has runs as task/number. Some lines have their number in the field instead.
type lostRuns []string

// UnmarshalJSON implements json.Unmarshaler.
func (r *lostRuns) UnmarshalJSON(data []byte) error { return unmarshalList((*[]string)(r), data) }

// unmarshalList decodes a list of strings, and leaves the list empty for any other value.
func unmarshalList(list *[]string, data []byte) error {
	if !bytes.HasPrefix(data, []byte("[")) {
		return nil
	}
	if err := json.Unmarshal(data, list); err != nil {
		return fmt.Errorf("timeline: list: %w", err)
	}
	return nil
}

// taskName is the parsed name of a task: JOB.OCCURRENCE.STEP.INDEX.
type taskName struct {
	job   string
	step  int
	index int
}

func parseTask(text string) (taskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	step, stepErr := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	return taskName{job: parts[0], step: step, index: index}, stepErr == nil && indexErr == nil
}

// stepShape is what the description of a step in a "submit" line says of it.
type stepShape struct {
	tasks        int
	cores        float64
	accelerators int
	gang         bool
}

// parseStep parses the description, such as "7 x 7500m/22000MB/2acc 4.668s gang".
func parseStep(text string) (stepShape, error) {
	var s stepShape
	var millicores, megabytes int
	if _, err := fmt.Sscanf(text, "%d x %dm/%dMB/%dacc", &s.tasks, &millicores, &megabytes, &s.accelerators); err != nil {
		return stepShape{}, fmt.Errorf("timeline: step %q: %w", text, err)
	}
	s.cores = float64(millicores) / 1000
	for _, word := range strings.Fields(text) {
		s.gang = s.gang || word == "gang"
	}
	return s, nil
}
