package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// previousBuild is the commit of the build that may run beside today's during an upgrade: the last
// one before this release.
const previousBuild = "5882e90"

// buildPrevious builds the router of the previous build, from the history of this repository.
func buildPrevious(t *testing.T, dir string) string {
	t.Helper()
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	require.NoError(t, err, "the previous build is in the history of the repository")
	source := filepath.Join(dir, "previous")
	require.NoError(t, os.MkdirAll(source, 0o700))
	archive := exec.Command("git", "-C", strings.TrimSpace(string(root)), "archive", "--output", filepath.Join(dir, "previous.tar"),
		previousBuild, "--", ":(exclude)journal", ".")
	out, err := archive.CombinedOutput()
	require.NoError(t, err, string(out))
	out, err = exec.Command("tar", "-xf", filepath.Join(dir, "previous.tar"), "-C", source).CombinedOutput()
	require.NoError(t, err, string(out))
	build := exec.Command("go", "build", "-o", filepath.Join(dir, "previous-router"), "./cmd/router")
	build.Dir = source
	build.Env = append(os.Environ(), "GOWORK="+filepath.Join(source, "go.work"))
	out, err = build.CombinedOutput()
	require.NoError(t, err, string(out))
	return filepath.Join(dir, "previous-router")
}

// TestTwoBuildsSideBySide guards against an upgrade, or its way back, that breaks a guarantee, as
// routers of this build and of the one before don't read each other's datagrams, the store's rows or
// the settings: every second router runs the previous one first, and each changes when it restarts.
func TestTwoBuildsSideBySide(t *testing.T) {
	dir := t.TempDir()
	size := Size{Routers: 4, Targets: 2, Callers: 2, OtherBuild: buildPrevious(t, dir)}
	report, err := Run(build(t, dir, "router"), dir, size, testSeed, testTime)
	require.NoError(t, err)
	require.Empty(t, report.Violations, report.Events)
	require.NotZero(t, report.Served)
}
