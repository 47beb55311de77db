package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What CI passes over is named, few, told each time, and hides nothing else.
func TestKnownRed(t *testing.T) {
	const red, name = "tiny/a TestRed, it waits for the clock, and fails, 37\n", "KNOWN-RED.txt: "
	for _, c := range []struct {
		what, list, broken string // broken is what TestGreen of package a does
		args               string
		passes             bool
		says               []string
		never              string
	}{
		{"no list", "", "", "./b", true, []string{"--- PASS: TestRed"}, "known red"},
		{"no list, a failure", "", "", "./...", false, []string{"--- FAIL: TestRed", "--- PASS: TestGreen"}, "known red"},
		{"a failure named, in its package only", red, "", "./...", true, []string{"known red | --- FAIL: TestRed",
			"known red: tiny/a TestRed: FAIL (issue 37: it waits for the clock, and fails)",
			"\n--- PASS: TestRed", "\n--- PASS: TestGreen", "\nok  \ttiny/a"}, "known red | --- PASS"},
		{"a crash and a failure named, no last newline", "tiny/a TestCrash, c, 1\ntiny/a TestRed, c, 2", "", "./a", true,
			[]string{"TestCrash: FAIL (issue 1: c)", "TestRed: FAIL (issue 2: c)", "\n--- PASS: TestGreen"}, "strike"},
		{"named and mended", "tiny/b TestRed, c, 1\n", "", "./b", true,
			[]string{"known red: tiny/b TestRed: PASS, strike it from KNOWN-RED.txt (issue 1: c)"}, "FAIL"},
		{"a package not asked for", red, "", "./b", true, []string{"--- PASS: TestRed"}, "known red"},
		{"another failure in the package", red, "t.Fail()", "./...", false,
			[]string{"TestRed: FAIL (issue", "\n--- FAIL: TestGreen", "\nok  \ttiny/b", "\nFAIL\n"}, "\n--- FAIL: TestRed"},
		{"another failure, its package alone", red, "t.Fail()", "./a", false, []string{"\n--- FAIL: TestGreen"}, "FAIL\nFAIL\n"},
		{"an unnamed crash", red, `panic("x")`, "./...", false, []string{"\n--- FAIL: TestGreen", "\nok  \ttiny/b"}, ""},
		{"no such test", "tiny/b TestGreen, c, 1\n", "", "./...", false, []string{name + "no test TestGreen in tiny/b"}, "---"},
		{"no such package", "tiny/c TestRed, c, 1\n", "", "./a", false, []string{name + "no package tiny/c"}, "---"},
		{"a subtest", "tiny/a TestRed/x, c, 1\n", "", "./...", false, []string{name + "want PACKAGE"}, "---"},
		{"no cause", "tiny/a TestRed, 37\n", "", "./...", false, []string{name + "want PACKAGE"}, "---"},
		{"no issue", "tiny/a TestRed, c\n", "", "./...", false, []string{name + "want PACKAGE"}, "---"},
		{"an empty line", red + "\n", "", "./...", false, []string{name + "want PACKAGE"}, "---"},
		{"one twice", red + red, "", "./...", false, []string{name + "named twice"}, "---"},
		{"nine", strings.Repeat(red, 9), "", "./...", false, []string{name + "more than 8 lines"}, "---"},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			script, err := os.ReadFile("../../.ci/test")
			if err != nil {
				t.Fatal(err)
			}
			for path, text := range map[string]string{
				".ci/test": string(script), "go.mod": "module tiny\n\ngo 1.26\n", "KNOWN-RED.txt": c.list,
				"a/a_test.go": "package a\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Error(1) }\n" +
					"func TestGreen(t *testing.T) { " + c.broken + " }\n",
				"a/crash_test.go": "package a\nimport \"testing\"\nfunc TestCrash(t *testing.T) { panic(1) }\n",
				"b/b_test.go":     "package b\nimport \"testing\"\nfunc TestRed(t *testing.T) {}\n",
			} {
				path = filepath.Join(dir, path)
				if text == "" || strings.HasSuffix(path, "crash_test.go") && !strings.Contains(c.list, "TestCrash") {
					continue
				}
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
					t.Fatal(err)
				}
			}
			raw, err := exec.Command("sh", filepath.Join(dir, ".ci/test"), "-v", "-count=1", "-p=1", c.args).CombinedOutput()
			out := string(raw)
			if (err == nil) != c.passes || c.never != "" && strings.Contains(out, c.never) {
				t.Errorf("%v, want passing %v and nothing of %q:\n%s", err, c.passes, c.never, out)
			}
			for _, s := range c.says {
				if !strings.Contains(out, s) {
					t.Errorf("not said: %q:\n%s", s, out)
				}
			}
			closing, want := out[strings.LastIndex(strings.TrimSpace(out), "\n")+1:], "FAIL\n"
			if c.passes {
				want = "ok  \t"
			}
			if c.never != "---" && !strings.HasPrefix(closing, want) {
				t.Errorf("the last line is %q, not go test's %q", closing, want)
			}
		})
	}
}
