package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/harness"
	"github.com/savoryfold/savoryfold/test/history"
)

const (
	configDuration   = 16 * time.Second
	configSettleTime = 4 * time.Second
	pollInterval     = 40 * time.Millisecond
	editInterval     = 150 * time.Millisecond
	sharedSection    = "zone burnie"
)

// recorder records the history of the configuration.
type recorder struct {
	mu        sync.Mutex
	tables    history.Tables // guarded by mu
	submitted int            // guarded by mu
}

// configExperiment lets operators edit one section concurrently while responses of
// the log are lost, the log is down and instances are killed.
func configExperiment(ctx context.Context, e *env) error {
	if err := e.launch(ctx, twoStageSpec()); err != nil {
		return err
	}
	rec := &recorder{}
	run, cancel := context.WithTimeout(ctx, configDuration)
	defer cancel()
	var running sync.WaitGroup
	for i, in := range e.cluster.Instances {
		running.Go(func() { e.runOperator(run, rec, in, i) })
	}
	watch, endWatch := context.WithCancel(ctx)
	var watching sync.WaitGroup
	for _, in := range e.cluster.Instances {
		watching.Go(func() { e.watchRevision(watch, rec, in) })
	}
	e.configFaults(run)
	running.Wait()
	select {
	case <-time.After(configSettleTime):
	case <-ctx.Done():
	}
	endWatch()
	watching.Wait()
	return e.reportConfig(ctx, rec)
}

// configFaults injects faults one after another.
func (e *env) configFaults(ctx context.Context) {
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	set := func(f standin.LogFaults) { _ = e.cluster.SetLogFaults(context.WithoutCancel(ctx), f) }
	pause(2 * time.Second)
	set(standin.LogFaults{LoseResponses: 0.3})
	pause(3 * time.Second)
	set(standin.LogFaults{Down: true})
	pause(1 * time.Second)
	victim := e.cluster.Instances[2]
	victim.Kill()
	pause(500 * time.Millisecond)
	_ = e.cluster.Restart(victim)
	pause(2 * time.Second)
	set(standin.LogFaults{})
	pause(2 * time.Second)
	e.cluster.Instances[1].Kill()
	_ = e.cluster.Restart(e.cluster.Instances[1])
	<-ctx.Done()
}

// runOperator edits the shared section repeatedly, each time based on the newest
// revision that the instance reports. It retries an edit until it has a result.
func (e *env) runOperator(ctx context.Context, rec *recorder, in *harness.Instance, operator int) {
	for n := 0; ctx.Err() == nil; n++ {
		t, err := e.cluster.Tables(ctx, in)
		if err != nil {
			time.Sleep(editInterval)
			continue
		}
		edit := history.Edit{ID: uuid.NewString(), Section: sharedSection}
		for _, s := range t.Sections {
			if s.Name == sharedSection {
				edit.Base = s.Revision
			}
		}
		// The comment makes each body unique.
		body := fmt.Sprintf("state = in\n# operator %d, edit %d\n", operator, n)
		e.submit(ctx, rec, in, edit, body)
		time.Sleep(editInterval)
	}
}

func (e *env) submit(ctx context.Context, rec *recorder, in *harness.Instance, edit history.Edit, body string) {
	rec.mu.Lock()
	rec.submitted++
	rec.mu.Unlock()
	for ctx.Err() == nil {
		result, err := e.cluster.EditWithID(ctx, in, edit.ID, edit.Section, body, edit.Base)
		if err != nil || result.Status == "" {
			time.Sleep(editInterval)
			continue
		}
		edit.Accepted = result.Status == config.EditAccepted
		edit.Revision = result.Revision
		edit.At = time.Now()
		rec.mu.Lock()
		rec.tables.Edits = append(rec.tables.Edits, edit)
		rec.mu.Unlock()
		return
	}
}

// watchRevision records the active revision of an instance, by process.
func (e *env) watchRevision(ctx context.Context, rec *recorder, in *harness.Instance) {
	for ctx.Err() == nil {
		process := fmt.Sprintf("%s pid %d", in.ID, e.cluster.PID(in))
		t, err := e.cluster.Tables(ctx, in)
		if err == nil && process == fmt.Sprintf("%s pid %d", in.ID, e.cluster.PID(in)) {
			rec.mu.Lock()
			rec.tables.Observations = append(rec.tables.Observations, history.Observation{Process: process, At: time.Now(), Revision: t.Revision})
			rec.mu.Unlock()
		}
		time.Sleep(pollInterval)
	}
}

func (e *env) reportConfig(ctx context.Context, rec *recorder) error {
	v := rec.tables.Check()
	accepted := 0
	for _, edit := range rec.tables.Edits {
		if edit.Accepted {
			accepted++
		}
	}
	e.figure("edits asked for", float64(rec.submitted), "edits")
	e.figure("edits with a verdict", float64(len(rec.tables.Edits)), "edits")
	e.figure("edits accepted", float64(accepted), "edits")
	e.atMost("older revisions after newer ones in one process", float64(v.Reverted), 0, "times")
	e.atMost("racing edits that were both accepted", float64(v.Raced), 0, "edits")
	e.atMost("longest time until an accepted edit was in force everywhere", v.Slowest.Seconds(), 4, "s")
	texts := make(map[string]bool)
	for _, in := range e.cluster.Instances {
		t, err := e.cluster.Tables(ctx, in)
		if err != nil {
			return err
		}
		texts[fmt.Sprintf("%d %v", t.Revision, t.Sections)] = true
	}
	e.atMost("different tables at the end", float64(len(texts)), 1, "tables")
	e.printFailures(v.Violations)
	return nil
}
