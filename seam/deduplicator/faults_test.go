package deduplicator_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/deduplicator"
	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/ticketer"
)

const (
	homes       = 3
	names       = 12
	retryDelay  = 400 * time.Millisecond
	maxAttempts = 6
)

// schedule is one simulation of callers, homes and an upstream, with random faults.
type schedule struct {
	world        *faker.World
	network      *faker.Network
	signer       *ticketer.Signer
	homes        [homes]*deduplicator.Home
	incarnations [homes]uint64
	// successor holds, by the name and incarnation of a stopped home, the index of the
	// home that adopted its names.
	successor map[string]int
	// runs holds how often the upstream ran each name. runsOfAttempt holds how often it
	// ran each attempt, by attempt number.
	runs          map[string]int
	runsOfAttempt map[int]int
	// attemptID is the number of the last attempt of any caller.
	attemptID int
	// answers holds the first body that a caller got for each name.
	answers map[string]string
	// wrongAnswers is the number of answers that contradict runs, runsOfAttempt or an
	// earlier answer.
	wrongAnswers int
	// forgetsNames makes a home delete its record of a name if the upstream doesn't
	// answer, although the request may have run.
	forgetsNames bool
}

func newSchedule(seed uint64, forgetsNames bool) *schedule {
	w := faker.NewWorld(seed)
	s := &schedule{
		world:  w,
		signer: ticketer.NewSigner([]byte("secret")), successor: map[string]int{}, runs: map[string]int{},
		runsOfAttempt: map[int]int{}, answers: map[string]string{}, forgetsNames: forgetsNames,
	}
	// The network duplicates no messages, because an attempt is one request on a TCP
	// connection. Only the callers repeat requests of a name.
	s.network = faker.NewNetwork(w, faker.WithDelay(time.Millisecond, 60*time.Millisecond), faker.WithLoss(0.1))
	for i := range homes {
		s.boot(i)
	}
	return s
}

func node(i int) string { return fmt.Sprint("home-", i) }

func (s *schedule) boot(i int) {
	s.incarnations[i]++
	s.homes[i] = deduplicator.New(node(i), s.incarnations[i])
}

// call sends a named request to its home, and sends it again until an answer arrives or
// all attempts are used up.
func (s *schedule) call(id int) {
	home := s.world.Rand().IntN(homes)
	ticket := s.signer.Issue(node(home), s.incarnations[home], s.world.Now())
	s.sendAttempt(fmt.Sprintf("%s.%d", ticket, id), home, 0)
}

func (s *schedule) sendAttempt(text string, home, attempt int) {
	if attempt >= maxAttempts {
		return
	}
	s.attemptID++
	attemptID := s.attemptID
	answerReceived := false
	target := home
	if next, ok := s.successor[fmt.Sprint(node(home), s.incarnations[home])]; ok && s.world.Rand().IntN(2) == 0 {
		target = next
	}
	s.network.Send("caller", node(target), func() {
		s.receive(target, text, attemptID, func(a deduplicator.Answer) {
			if a.Ran == coder.NotRun && s.runs[text] > 0 {
				s.wrongAnswers++
			}
			s.network.Send(node(target), "caller", func() {
				if answerReceived {
					return
				}
				answerReceived = true
				s.answerReceived(text, home, attempt, attemptID, a)
			})
		})
	})
	s.world.After("caller", retryDelay, func() {
		if !answerReceived {
			s.sendAttempt(text, home, attempt+1)
		}
	})
}

// answerReceived checks an answer that arrived at a caller. "Not run" is a statement
// about the answered attempt alone; the caller then sends the request again.
func (s *schedule) answerReceived(text string, home, attempt, attemptID int, a deduplicator.Answer) {
	if a.Ran == coder.NotRun {
		if s.runsOfAttempt[attemptID] > 0 {
			s.wrongAnswers++
		}
		s.sendAttempt(text, home, attempt+1)
		return
	}
	if a.Code != coder.OK {
		return
	}
	if first, ok := s.answers[text]; ok && first != string(a.Body) {
		s.wrongAnswers++
	}
	s.answers[text] = string(a.Body)
}

func (s *schedule) receive(i int, text string, attemptID int, answer func(deduplicator.Answer)) {
	ticket, err := s.signer.Parse(text)
	if err != nil {
		s.wrongAnswers++
		return
	}
	n := deduplicator.Name{Ticket: ticket, Team: "crew", Text: text}
	verdict, result := s.homes[i].Begin(s.world.Now(), n, answer)
	switch verdict {
	case deduplicator.Run:
		s.run(i, n, attemptID, answer)
	case deduplicator.Wait:
	default:
		answer(result)
	}
}

// run forwards a request to the upstream. The upstream may refuse the request, or may
// run it and not answer within the home's time limit.
func (s *schedule) run(i int, n deduplicator.Name, attemptID int, answer func(deduplicator.Answer)) {
	home := s.homes[i]
	ended := false
	end := func(a deduplicator.Answer) {
		if ended {
			return
		}
		ended = true
		if s.forgetsNames && a.Code != coder.OK {
			a.Ran = coder.NotRun
		}
		home.End(n, a)
		answer(a)
	}
	if s.world.Rand().IntN(10) == 0 {
		// The upstream refuses the request because of overload and answers that it
		// didn't run.
		end(deduplicator.Answer{Code: coder.UpstreamFailed, Ran: coder.NotRun})
		return
	}
	silent := s.world.Rand().IntN(8) == 0
	s.world.After("", 10*time.Millisecond, func() {
		s.runs[n.Text]++
		s.runsOfAttempt[attemptID]++
		body := fmt.Sprintf("run %d", s.runs[n.Text])
		if !silent {
			s.world.After(node(i), 10*time.Millisecond, func() { end(deduplicator.Answer{Body: []byte(body), Ran: coder.HasRun}) })
		}
	})
	s.world.After(node(i), 300*time.Millisecond, func() {
		end(deduplicator.Answer{Code: coder.UpstreamTimeout, Ran: coder.MayHaveRun})
	})
}

// fault crashes, pauses, stops or disconnects a random home.
func (s *schedule) fault() {
	i := s.world.Rand().IntN(homes)
	switch s.world.Rand().IntN(4) {
	case 0:
		s.world.Crash(node(i))
		s.boot(i)
	case 1:
		s.world.Pause(node(i))
		s.world.After("", time.Duration(s.world.Rand().IntN(900))*time.Millisecond, func() { s.world.Resume(node(i)) })
	case 2:
		s.stop(i)
	case 3:
		s.network.SetCut("caller", node(i), true)
		s.world.After("", 500*time.Millisecond, func() { s.network.SetCut("caller", node(i), false) })
	}
}

// stop hands the records of a home to the next home and restarts the stopped home 500
// ms later.
func (s *schedule) stop(i int) {
	home := s.homes[i]
	home.Close()
	out, ok := home.Handover(s.world.Now())
	next := (i + 1) % homes
	if !ok || s.homes[next].Adopt(s.world.Now(), out) != nil {
		return
	}
	s.successor[fmt.Sprint(node(i), s.incarnations[i])] = next
	s.world.After("", 500*time.Millisecond, func() {
		s.world.Crash(node(i))
		s.boot(i)
	})
}

// play runs the simulation for 20 s of virtual time. It returns the number of names
// that ran more than once and the number of wrong answers.
func (s *schedule) play() (twice, wrongAnswers int) {
	for id := range names {
		s.world.After("caller", time.Duration(s.world.Rand().IntN(2000))*time.Millisecond, func() { s.call(id) })
	}
	for range 5 {
		s.world.After("", time.Duration(s.world.Rand().IntN(3000))*time.Millisecond, s.fault)
	}
	s.world.Run(20 * time.Second)
	for _, n := range s.runs {
		if n > 1 {
			twice++
		}
	}
	return twice, s.wrongAnswers
}

// TestNoNameRunsTwice checks, over seeded schedules of faults, that no name runs twice
// and that no answer is wrong. In the schedules, homes crash, pause, stop and lose
// their connection to callers, messages are lost, and callers repeat requests at the
// home and at its successor.
func TestNoNameRunsTwice(t *testing.T) {
	seeds := 200
	if os.Getenv("SEAM_WHOLE") != "" {
		seeds = 1000
	}
	ran := 0
	for seed := range seeds {
		s := newSchedule(uint64(seed), false)
		if twice, wrong := s.play(); twice > 0 || wrong > 0 {
			t.Errorf("seed %d: %d names ran twice, %d answers were wrong", seed, twice, wrong)
		}
		ran += len(s.runs)
	}
	t.Logf("%d schedules, %d names ran", seeds, ran)
	if ran < seeds*names/2 {
		t.Errorf("only %d names ran", ran)
	}
}

func TestHomeThatForgetsNamesIsDetected(t *testing.T) {
	detected := 0
	for seed := range 50 {
		if twice, _ := newSchedule(uint64(seed), true).play(); twice > 0 {
			detected++
		}
	}
	if detected == 0 {
		t.Error("no schedule detected a home that forgets names")
	}
}

func TestRecordsAreBoundedAndExpire(t *testing.T) {
	h := deduplicator.New("a", 1, deduplicator.WithMaxRecords(2), deduplicator.WithMaxBytes(10))
	now := faker.Epoch
	ticket := ticketer.Ticket{Home: "a", Incarnation: 1, ExpiresMS: now.Add(ticketer.Lifetime).UnixMilli()}
	begin := func(text string, at time.Time) deduplicator.Verdict {
		verdict, _ := h.Begin(at, deduplicator.Name{Ticket: ticket, Text: text}, nil)
		return verdict
	}
	for _, text := range []string{"x", "y"} {
		if v := begin(text, now); v != deduplicator.Run {
			t.Fatalf("%s: %v", text, v)
		}
		h.End(deduplicator.Name{Ticket: ticket, Text: text}, deduplicator.Answer{Body: make([]byte, 8), Ran: coder.HasRun})
	}
	if v := begin("z", now); v != deduplicator.Full {
		t.Errorf("third name, with room for two: %v", v)
	}
	if _, a := h.Begin(now, deduplicator.Name{Ticket: ticket, Text: "y"}, nil); a.Ran != coder.HasRun || a.Code != coder.OutcomeUnknown {
		t.Errorf("answer whose body exceeds the size limit: %+v", a)
	}
	late := now.Add(ticketer.Lifetime + ticketer.Grace)
	if v := begin("x", late); v != deduplicator.Expired || h.Len() != 0 {
		t.Errorf("after the grace period: %v, %d records", v, h.Len())
	}
}
