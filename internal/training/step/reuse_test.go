package step

import (
	"context"
	"testing"
	"time"
)

// heldJobs makes the generator return texts that consist of the job's prompt, and
// only once release is called.
func heldJobs(tc *testCluster) (release func()) {
	held := make(chan struct{})
	tc.gen.onChunk = func(ctx context.Context, j Job, _ int, c Chunk) (Chunk, error) {
		select {
		case <-held:
		case <-ctx.Done():
			return c, ctx.Err()
		}
		c.Text = j.Prompt
		return c, nil
	}
	return func() { close(held) }
}

// lateCall is a call of an instance that still acts for a former pull of a step,
// for the first group and with the prompt of that pull.
func lateCall(version int, prompt string) *RunRequest {
	return &RunRequest{
		Trainer: "t", Account: "acme", Model: "m", MaxAge: 1, Step: "s", Version: int32(version), GroupSize: 2, MaxTokens: 1,
		DeadlineMs: 300_000, Limit: 1 << 20, Groups: []*Prompt{{Group: 0, Prompt: &prompt}},
	}
}

// Guards against a trainer that gets samples for the prompts of its former life. It
// has restarted and uses the name of a step again, and an instance that was frozen
// or that did not notice the lost connection still calls for the former pull while
// the present one waits. The call must not end the work of the present pull either.
func TestLateCallOfAFormerPull(t *testing.T) {
	tc := newTestCluster(t, 1)
	release := heldJobs(tc)
	p := newPull(1, 1, 2)
	p.MaxTokens, p.Prompts[0] = 1, "present"
	s := tc.nodes["i-0"]
	type answer struct {
		groups Groups
		err    error
	}
	answers := make(chan answer, 1)
	began := tc.timers.Now()
	go func() {
		groups, err := s.Pull(context.Background(), testTrainer, p)
		answers <- answer{groups, err}
	}()
	// The pull sends its prompts in its first call only.
	for tc.timers.Since(began) < maxCallWait+time.Second {
		time.Sleep(time.Millisecond)
	}
	if _, err := s.home.Run(context.Background(), lateCall(1, "former")); err != nil {
		t.Fatal(err)
	}
	release()
	got := <-answers
	if got.err != nil || len(got.groups.Groups) != 1 {
		t.Fatalf("Pull = %+v, %v, want one group", got.groups, got.err)
	}
	for _, sample := range got.groups.Groups[0].Samples {
		if sample.Text != "present" {
			t.Errorf("sample %s has the text %q, which was generated for a former pull", sample.ID, sample.Text)
		}
	}
	tc.gen.mu.Lock()
	defer tc.gen.mu.Unlock()
	requests, present := map[string]bool{}, 0
	for _, j := range tc.gen.jobs {
		if requests[j.Request] {
			t.Errorf("two generations have the request id %s", j.Request)
		}
		requests[j.Request] = true
		if j.Prompt == "present" {
			present++
		}
	}
	if present != 2 {
		t.Errorf("%d generations for the present pull, want 2", present)
	}
}

// Guards against the work for a former pull of a step that goes on after its trainer
// has asked for other prompts under the same name.
func TestGroupsOfAFormerPullAreDropped(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": evictAfter, "by a sweep": 0} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			release := heldJobs(tc)
			defer release()
			s := tc.nodes["i-0"]
			run := func(prompt string) {
				if _, err := s.home.Run(context.Background(), lateCall(1, prompt)); err != nil {
					t.Fatal(err)
				}
			}
			run("former")
			tc.driver.Advance(pause)
			run("present")
			if pause == 0 {
				tc.driver.Advance(evictAfter)
				run("present")
				s.home.sweep()
			}
			s.home.mu.Lock()
			defer s.home.mu.Unlock()
			if len(s.home.groups) != 1 {
				t.Fatalf("%d groups are kept, want the one of the present pull", len(s.home.groups))
			}
			for _, g := range s.home.groups {
				if g.prompt != "present" || !g.running {
					t.Errorf("the group with the prompt %q is kept, running: %v", g.prompt, g.running)
				}
			}
		})
	}
}
