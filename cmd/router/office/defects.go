package office

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillalug.example"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/defect"
)

// trialWait is how soon it is tried whether a chat still crashes engines. It is short, as an engine that
// was only restarted can't be told from one that crashed on the chat.
const trialWait = 2 * time.Second

// beginningChunks is how many chunks of a response an engine has written when it is beyond the beginning.
const beginningChunks = 8

// suspects is what of a request may crash the targets that run it: the whole request, of which a hash is
// kept that nobody can make up another request with, and what others share with it.
type suspects struct {
	router *Router
	shared []defect.Subject
	fields []string
	body   []byte
	// all is nil until subjects is called.
	all []defect.Subject
	// attempts counts the attempts that ended with a crash.
	attempts int
}

func (s *suspects) subjects() []defect.Subject {
	if s.all != nil {
		return s.all
	}
	h := sha256.New()
	for _, field := range s.fields {
		// The length makes that no two lists of fields have the same input.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = io.WriteString(h, field)
	}
	h.Write(s.body)
	s.all = slices.Concat(s.shared, []defect.Subject{defect.Request(binary.BigEndian.Uint64(h.Sum(nil)))})
	return s.all
}

// reject returns a problem if the request crashes targets and doesn't try whether it still does.
func (s *suspects) reject() *vanillalug.Problem {
	tracker, now := s.router.defects, s.router.clock.Now()
	if tracker.Empty() {
		return nil
	}
	switch a := tracker.Admit(s.subjects(), len(s.router.roster.Members()), rand.Uint64(), now).(type) {
	case defect.Trial:
		if !tracker.BeginTrial(a.Subject, now) {
			return crashesTargets(time.Second)
		}
		s.router.log.Info("a request tries whether it still crashes targets")
	case defect.Rejected:
		meter.Count("requests_rejected", "reason", "crashes targets")
		if a.Soon {
			return crashesTargets(time.Second)
		}
		return crashesTargets(0)
	}
	return nil
}

func crashesTargets(retryAfter time.Duration) *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "request-crashes-targets",
		"the targets that ran this request have crashed", vanillalug.WithRetryAfter(retryAfter))
}

// recordCrash records that a target crashed on the request, which was sent at a time. It reports whether
// the request may be sent to another one.
func (s *suspects) recordCrash(target string, stage defect.Stage, sent time.Time) (mayResend bool) {
	now := s.router.clock.Now()
	s.attempts++
	// Targets have no incarnations here, so each crash stands for one.
	key := defect.TargetKey(xxhash.Sum64String(target)) + defect.TargetKey(rand.Uint64())
	blocked := s.router.defects.RecordCrashAt(stage, s.subjects(), key, sent, now)
	meter.Count("target_crashes", "target", target)
	s.router.log.Info("a target ended the connection in the middle of a request", "target", target, "attempt", s.attempts,
		"blocked", len(blocked))
	return s.router.defects.MayResend(s.subjects(), now)
}

// recordSound records that a target completed the request. While nothing is suspect, it isn't hashed for it.
func (s *suspects) recordSound() {
	subjects := s.shared
	if !s.router.defects.Empty() {
		subjects = s.subjects()
	}
	s.router.defects.RecordSound(subjects, s.router.clock.Now())
}

// suspectsOf returns the suspects of a chat; all of its turns share the conversation.
func (r *Router) suspectsOf(q ChatRequest) suspects {
	return suspects{
		router: r, shared: []defect.Subject{defect.Part(q.Key)}, fields: []string{"chat", q.Workspace.Name(), q.Model}, body: q.Body,
	}
}

// chatStage returns how far the engine of the current attempt has come.
func (t *transaction) chatStage() defect.Stage {
	switch {
	case t.sink.nextOffset >= beginningChunks:
		return defect.Running
	case t.sink.started:
		return defect.Beginning
	}
	return defect.Waiting
}
