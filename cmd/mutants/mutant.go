package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"vanillalug.example/form"
)

// testTimeout ends a test that a mutant makes hang.
const testTimeout = "60s"

// mutant is a change of one place in the code, and the test that must fail with
// it.
type mutant struct {
	name string
	file string
	old  string
	new  string
	pkg  string
	test string
}

func readMutants(list string) ([]mutant, error) {
	text, err := os.ReadFile(list)
	if err != nil {
		return nil, err
	}
	in, err := form.Read(list, text)
	if err != nil {
		return nil, err
	}
	var out []mutant
	for _, s := range in.Sections("mutant") {
		out = append(out, mutant{
			name: s.Name(), file: s.Required("file"), old: s.Required("old"), new: s.Text("new", ""),
			pkg: s.Required("package"), test: s.Required("test"),
		})
	}
	return out, in.Err()
}

// overlay is the JSON file of the go command's -overlay flag.
type overlay struct {
	Replace map[string]string
}

// run runs the test with the change and reports whether the test failed. A change
// that does not build, and a test that does not exist, is an error.
func (m mutant) run() (bool, error) {
	dir, err := os.MkdirTemp("", "vanillalug-mutant-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file, err := m.writeOverlay(dir)
	if err != nil {
		return false, err
	}
	if out, err := exec.Command("go", "vet", "-overlay", file, m.pkg).CombinedOutput(); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	out, err := exec.Command("go", "test", "-count=1", "-timeout", testTimeout, "-overlay", file, "-run", "^"+m.test+"$", m.pkg).CombinedOutput()
	if err == nil && strings.Contains(string(out), "no tests to run") {
		return false, fmt.Errorf("there is no test %s", m.test)
	}
	return err != nil, nil
}

// changed returns the text of the file with the change.
func (m mutant) changed() (string, error) {
	text, err := os.ReadFile(m.file)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(text), m.old); n != 1 {
		return "", fmt.Errorf("%s: %q occurs %d times, want once", m.file, m.old, n)
	}
	return strings.Replace(string(text), m.old, m.new, 1), nil
}

func (m mutant) writeOverlay(dir string) (string, error) {
	text, err := m.changed()
	if err != nil {
		return "", err
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
		return "", err
	}
	path, err := filepath.Abs(m.file)
	if err != nil {
		return "", err
	}
	raw, err := json.Marshal(overlay{Replace: map[string]string{path: changed}})
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "overlay.json")
	return file, os.WriteFile(file, raw, 0o600)
}
