package versus

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

//go:embed pinned.txt
var pinned string

// Pinned is the full id of the earlier revision that the present one is played against.
func Pinned() string { return strings.TrimSpace(pinned) }

// ErrNoHistory is a source tree in which a revision is not at hand: no git, no history, or only its newest part.
var ErrNoHistory = errors.New("the history has no such revision here")

// Build builds the program as it was at a revision, from this repository's own history, under dir. What git and go
// leave there goes with dir.
func Build(revision, dir string) (program string, err error) {
	top, err := git(".", "rev-parse", "--show-toplevel")
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrNoHistory, err)
	}
	root := string(bytes.TrimSpace(top))
	if _, err := git(root, "cat-file", "-e", revision+"^{commit}"); err != nil {
		return "", fmt.Errorf("%s: %w: %w", revision, ErrNoHistory, err)
	}
	tree := filepath.Join(dir, "tree-"+revision)
	if err := os.MkdirAll(tree, 0o700); err != nil {
		return "", err
	}
	text, err := git(root, "archive", "--format=tar", revision, "go.mod", "go.sum", "cmd", "control", "internal")
	if err != nil {
		return "", err
	}
	unpack := exec.Command("tar", "-x", "-C", tree)
	unpack.Stdin = bytes.NewReader(text)
	if out, err := unpack.CombinedOutput(); err != nil {
		return "", fmt.Errorf("unpack %s: %w: %s", revision, err, out)
	}
	program = filepath.Join(dir, "larchscale-"+revision)
	build := exec.Command("go", "build", "-o", program, "./cmd/larchscale")
	build.Dir = tree
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w: %s", revision, err, out)
	}
	return program, nil
}

func git(dir string, args ...string) ([]byte, error) {
	c := exec.Command("git", args...)
	c.Dir = dir
	out, err := c.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = fmt.Errorf("git %s: %w: %s", args[0], err, bytes.TrimSpace(exit.Stderr))
	}
	return out, err
}
