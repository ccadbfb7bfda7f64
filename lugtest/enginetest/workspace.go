package enginetest

import "time"

// surges reports whether a class surges at a time.
func (p Pattern) surges(c Class, now time.Duration) bool {
	end := 2 * PatternDuration / 3
	if p.SurgeTime > 0 {
		end = PatternDuration/3 + p.SurgeTime
	}
	return p.SurgeFactor > 0 && now > PatternDuration/3 && now < end && (p.SurgingClass == "" || p.SurgingClass == c.Name)
}

func (s *simulation) workspaces() int { return max(s.deployment.Workspaces, 1) }

// hotWorkspaceSends returns how many times its usual the hot workspace sends now.
func (s *simulation) hotWorkspaceSends() float64 {
	start := PatternDuration / 3
	if s.pattern.HotWorkspaceFactor > 0 && s.now > start && s.now < start+s.pattern.HotWorkspaceTime {
		return s.pattern.HotWorkspaceFactor
	}
	return 1
}

// hotWorkspaceSurplus returns how many times the usual all workspaces send together.
func (s *simulation) hotWorkspaceSurplus() float64 {
	return 1 + (s.hotWorkspaceSends()-1)/float64(s.workspaces())
}

// drawWorkspace draws the workspace of a request; 0 is the one that may be hot.
func (s *simulation) drawWorkspace(q *request) {
	n := s.workspaces()
	if n == 1 {
		return
	}
	hot := s.hotWorkspaceSends()
	if s.random.Float64() < hot/(hot+float64(n-1)) {
		return
	}
	q.workspace = 1 + s.random.IntN(n-1)
}
