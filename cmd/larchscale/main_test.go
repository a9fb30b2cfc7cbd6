package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A configuration that cannot be is one clear line and exit code 2, before anything is opened.
func TestBadConfigurationIsOneLineAndExitTwo(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:0","pool":"127.0.0.1:1","seed":"1","stop_ms":100,"settings":`
	for name, text := range map[string]string{
		"none":        "",
		"no JSON":     "{",
		"no settings": `{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:1","seed":"1","stop_ms":100}`,
		"no address":  `{"name":"n","listen":"here","pool":"127.0.0.1:1"}`,
		"no seed":     `{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:1","stop_ms":1}`,
		"no classes":  good + `{}}`,
		"bad figure":  good + `{"RequestClasses":[{"Name":"a","AimUs":-1}]}}`,
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		code := run([]string{"-config", path}, func(string) string { return "" }, &out)
		if code != 2 || strings.Count(out.String(), "\n") != 1 {
			t.Errorf("%s: exit %d, %q", name, code, out.String())
		}
	}
	var out bytes.Buffer
	if code := run(nil, func(string) string { return "" }, &out); code != 2 {
		t.Errorf("no path: exit %d", code)
	}
}
