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
	homes    = 3
	names    = 12
	tryAgain = 400 * time.Millisecond
	tries    = 6
)

// schedule is one run of callers, homes and an upstream under faults.
type schedule struct {
	world     *faker.World
	network   *faker.Network
	signer    *ticketer.Signer
	homes     [homes]*deduplicator.Home
	starts    [homes]uint64
	successor map[string]int
	runs      map[string]int
	tried     map[int]int
	serial    int
	answers   map[string]string
	wrong     int
	// broken makes homes forget a name when its answer is lost.
	broken bool
}

func newSchedule(seed uint64, broken bool) *schedule {
	w := faker.NewWorld(seed)
	s := &schedule{
		world:  w,
		signer: ticketer.NewSigner([]byte("secret")), successor: map[string]int{}, runs: map[string]int{},
		tried: map[int]int{}, answers: map[string]string{}, broken: broken,
	}
	// A try is one request on a TCP connection, which doesn't duplicate it;
	// callers themselves send a name again and again.
	s.network = faker.NewNetwork(w, faker.WithDelay(time.Millisecond, 60*time.Millisecond), faker.WithLoss(0.1))
	for i := range homes {
		s.boot(i)
	}
	return s
}

func node(i int) string { return fmt.Sprint("home-", i) }

func (s *schedule) boot(i int) {
	s.starts[i]++
	s.homes[i] = deduplicator.New(node(i), s.starts[i])
}

// call sends a named request to its home, again and again until it is told.
func (s *schedule) call(id int) {
	home := s.world.Rand().IntN(homes)
	ticket := s.signer.Issue(node(home), s.starts[home], s.world.Now())
	s.try(fmt.Sprintf("%s.%d", ticket, id), home, 0)
}

func (s *schedule) try(text string, home, attempt int) {
	if attempt >= tries {
		return
	}
	s.serial++
	serial := s.serial
	told := false
	target := home
	if next, ok := s.successor[fmt.Sprint(node(home), s.starts[home])]; ok && s.world.Rand().IntN(2) == 0 {
		target = next
	}
	s.network.Send("caller", node(target), func() {
		s.receive(target, text, serial, func(a deduplicator.Answer) {
			if a.Ran == coder.NotRun && s.runs[text] > 0 {
				s.wrong++
			}
			s.network.Send(node(target), "caller", func() {
				if told {
					return
				}
				told = true
				s.told(text, home, attempt, serial, a)
			})
		})
	})
	s.world.After("caller", tryAgain, func() {
		if !told {
			s.try(text, home, attempt+1)
		}
	})
}

// told checks what a caller hears. "Not run" speaks of that try alone.
func (s *schedule) told(text string, home, attempt, serial int, a deduplicator.Answer) {
	if a.Ran == coder.NotRun {
		if s.tried[serial] > 0 {
			s.wrong++
		}
		s.try(text, home, attempt+1)
		return
	}
	if a.Code != coder.OK {
		return
	}
	if first, ok := s.answers[text]; ok && first != string(a.Body) {
		s.wrong++
	}
	s.answers[text] = string(a.Body)
}

func (s *schedule) receive(i int, text string, serial int, answer func(deduplicator.Answer)) {
	ticket, err := s.signer.Parse(text)
	if err != nil {
		s.wrong++
		return
	}
	n := deduplicator.Name{Ticket: ticket, Team: "crew", Text: text}
	verdict, known := s.homes[i].Begin(s.world.Now(), n, answer)
	switch verdict {
	case deduplicator.Run:
		s.run(i, n, serial, answer)
	case deduplicator.Wait:
	default:
		answer(known)
	}
}

// run forwards to the upstream, whose answer may be lost or never come.
func (s *schedule) run(i int, n deduplicator.Name, serial int, answer func(deduplicator.Answer)) {
	home := s.homes[i]
	ended := false
	end := func(a deduplicator.Answer) {
		if ended {
			return
		}
		ended = true
		if s.broken && a.Code != coder.OK {
			a.Ran = coder.NotRun
		}
		home.End(n, a)
		answer(a)
	}
	if s.world.Rand().IntN(10) == 0 {
		// Shed: the upstream says that it didn't run.
		end(deduplicator.Answer{Code: coder.UpstreamFailed, Ran: coder.NotRun})
		return
	}
	silent := s.world.Rand().IntN(8) == 0
	s.world.After("", 10*time.Millisecond, func() {
		s.runs[n.Text]++
		s.tried[serial]++
		body := fmt.Sprintf("run %d", s.runs[n.Text])
		if !silent {
			s.world.After(node(i), 10*time.Millisecond, func() { end(deduplicator.Answer{Body: []byte(body), Ran: coder.HasRun}) })
		}
	})
	s.world.After(node(i), 300*time.Millisecond, func() {
		end(deduplicator.Answer{Code: coder.UpstreamTimeout, Ran: coder.MayHaveRun})
	})
}

// fault does one thing to one home.
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

// stop hands a home's records to another and starts it anew.
func (s *schedule) stop(i int) {
	home := s.homes[i]
	home.Close()
	out, ok := home.Handover(s.world.Now())
	next := (i + 1) % homes
	if !ok || s.homes[next].Adopt(s.world.Now(), out) != nil {
		return
	}
	s.successor[fmt.Sprint(node(i), s.starts[i])] = next
	s.world.After("", 500*time.Millisecond, func() {
		s.world.Crash(node(i))
		s.boot(i)
	})
}

// play runs the schedule and returns what went wrong.
func (s *schedule) play() (twice, wrong int) {
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
	return twice, s.wrong
}

// TestNoNameRunsTwice runs seeded schedules of faults: homes crash, pause,
// stop and are cut off, answers are lost, and callers send again elsewhere.
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

func TestBrokenHomeIsCaught(t *testing.T) {
	caught := 0
	for seed := range 50 {
		if twice, _ := newSchedule(uint64(seed), true).play(); twice > 0 {
			caught++
		}
	}
	if caught == 0 {
		t.Error("a home that forgets names passed every schedule")
	}
}

func TestRecordsAreBoundedAndForgotten(t *testing.T) {
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
		t.Errorf("a third name: %v", v)
	}
	if _, a := h.Begin(now, deduplicator.Name{Ticket: ticket, Text: "y"}, nil); a.Ran != coder.HasRun || a.Code != coder.OutcomeUnknown {
		t.Errorf("an answer that didn't fit: %+v", a)
	}
	late := now.Add(ticketer.Lifetime + ticketer.Grace)
	if v := begin("x", late); v != deduplicator.Expired || h.Len() != 0 {
		t.Errorf("after the grace: %v, %d records", v, h.Len())
	}
}
