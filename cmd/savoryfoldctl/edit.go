package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/api"
	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/backoff"
)

// Intervals of retries and polls.
const (
	retryMin    = 200 * time.Millisecond
	retryMax    = 2 * time.Second
	appliedPoll = 200 * time.Millisecond
)

// editFlags are the flags of commands that edit a section.
type editFlags struct {
	base    string
	id      string
	timeout time.Duration
	wait    time.Duration
}

func (f *editFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.base, "base", "", "revision of the section that the edit is based on, 0 for a new section (default: the revision in the file, or else the current one)")
	cmd.Flags().StringVar(&f.id, "id", "", "the edit's ID, to send an edit again whose result is unknown")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 20*time.Second, "longest wait for the result of the edit")
	cmd.Flags().DurationVar(&f.wait, "wait", 4*time.Second, "longest wait for the edit to be active on all instances")
}

// baseOr returns the revision of the flag --base, or else the given revision.
func (f *editFlags) baseOr(revision uint64) (uint64, error) {
	if f.base == "" {
		return revision, nil
	}
	base, err := strconv.ParseUint(f.base, 10, 64)
	if err != nil {
		return 0, exitError{errors.New("--base: want a revision (a whole number)"), exitUsage}
	}
	return base, nil
}

// editReport is the output of a command that edits a section.
type editReport struct {
	Section string            `json:"section"`
	Result  config.EditResult `json:"result"`
	Applied *api.Applied      `json:"applied,omitempty"`
}

// edit submits an edit, waits until it is active on all instances, and prints the
// result. It returns an error if the edit was not accepted.
func (s *session) edit(cmd *cobra.Command, c *api.Client, f *editFlags, e config.Edit) error {
	e.ID = f.id
	result, err := submit(cmd.Context(), c, f.timeout, e)
	if err != nil {
		return err
	}
	out := editReport{Section: e.Section, Result: result}
	if result.Status == config.EditAccepted && f.wait > 0 {
		out.Applied = waitApplied(cmd.Context(), c, result.Revision, f.wait)
	}
	if err := s.print(cmd, out, out.text); err != nil {
		return err
	}
	return editResultError(e.Section, result)
}

// submit sends an edit. It retries with the same ID until the result is known or
// the timeout has passed.
func submit(ctx context.Context, c *api.Client, timeout time.Duration, e config.Edit) (config.EditResult, error) {
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	retry := backoff.Backoff{Min: retryMin, Max: retryMax}
	for {
		result, err := c.Edit(ctx, e)
		if err == nil {
			return result, nil
		}
		var problem *api.ProblemError
		if errors.As(err, &problem) && problem.Status != http.StatusServiceUnavailable {
			return result, err
		}
		if !retry.Wait(ctx) {
			return result, errors.Wrapf(err, "result of the edit of [%s] unknown, send it again with --id %s", e.Section, e.ID)
		}
	}
}

// waitApplied waits until a revision is active on all instances, or until the
// timeout has passed. It returns the last known state, nil if there is none.
func waitApplied(ctx context.Context, c *api.Client, revision uint64, timeout time.Duration) *api.Applied {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var last *api.Applied
	for {
		if a, err := c.Applied(ctx, revision); err == nil {
			last = &a
			if a.Active == a.Instances {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(appliedPoll):
		}
	}
}

func (o editReport) text() string {
	if o.Result.Status != config.EditAccepted {
		return ""
	}
	text := fmt.Sprintf("[%s] accepted, revision %d", o.Section, o.Result.Revision)
	if o.Applied != nil {
		text += ", " + appliedText(*o.Applied)
	}
	return text + "\n"
}

// editResultError returns an error with its exit code for an edit that was not
// accepted, otherwise nil.
func editResultError(section string, r config.EditResult) error {
	switch r.Status {
	case config.EditSuperseded:
		by := r.By
		if by == "" {
			by = "another operator"
		}
		return exitError{errors.Errorf("[%s] superseded by %s, its revision is now %d", section, by, r.Revision), exitSuperseded}
	case config.EditInvalid:
		return exitError{errors.Errorf("[%s] is invalid: %s", section, r.Problem), exitUsage}
	}
	return nil
}
