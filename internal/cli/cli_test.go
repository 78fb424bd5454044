package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
)

const testKey = "k1:6465762d6465762d6465762d6465762d6465762d6465762d6465762d6465762d"

func runCommand(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestServeSettings(t *testing.T) {
	good := []string{"serve", "--print-settings", "--id=h1", "--zone=z1",
		"--session-keys=" + testKey, "--peer-keys=" + testKey, "--operator-keys=op"}
	tests := []struct {
		desc string
		args []string
		want []string // parts of the error message; empty for success
	}{
		{desc: "good"},
		{desc: "address by name", args: []string{"--callers=localhost:80"}, want: []string{"--callers", "QUETZALWEIR_CALLERS", "IP and a port"}},
		{desc: "short key", args: []string{"--peer-keys=k1:00"}, want: []string{"--peer-keys", "QUETZALWEIR_PEER_KEYS"}},
		{desc: "no platform", args: []string{"--platform=nowhere"}, want: []string{"--platform", "QUETZALWEIR_PLATFORM"}},
		{desc: "bad number", args: []string{"--capacity=0"}, want: []string{"--capacity"}},
		{desc: "two faults in one run", args: []string{"--capacity=0", "--advertise-peers=x"}, want: []string{"--capacity", "--advertise-peers"}},
		{desc: "unknown flag", args: []string{"--colour=red"}, want: []string{"--colour"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := runCommand(append(good, tt.args...)...)
			is.Equal(code == exitOK, len(tt.want) == 0)
			for _, want := range tt.want {
				is.True(strings.Contains(errOut, want)) // the message contains it
			}
			is.True(!strings.Contains(out+errOut, "6465762d")) // no key is printed
		})
	}
}

func TestServeNeedsKeysAndNames(t *testing.T) {
	is := is.New(t)
	code, _, errOut := runCommand("serve")
	is.Equal(code, exitUsage)
	for _, flag := range []string{"--id", "--zone", "--session-keys", "--peer-keys", "--operator-keys"} {
		is.True(strings.Contains(errOut, flag)) // one run reports all missing settings
	}
}

func TestSettingsFromTheEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("QUETZALWEIR_ID", "from-env")
	t.Setenv("QUETZALWEIR_ZONE", "z9")
	for _, name := range []string{"SESSION", "PEER", "OPERATOR"} {
		t.Setenv("QUETZALWEIR_"+name+"_KEYS", testKey)
	}
	code, out, _ := runCommand("serve", "--print-settings", "--zone=z1")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "id=from-env\n"))
	is.True(strings.Contains(out, "zone=z1\n")) // a flag overrides the environment
}

func TestManifestFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	good := filepath.Join(dir, "good.json")
	bad := filepath.Join(dir, "bad.json")
	is.NoErr(os.WriteFile(good, devenv.Manifest(), 0o600))
	is.NoErr(os.WriteFile(bad, bytes.Replace(devenv.Manifest(), []byte(`"share": 90`), []byte(`"share": 91`), 1), 0o600))

	code, out, _ := runCommand("manifest", "check", good)
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "ok: 2 models, 1 accounts, digest sha256:"))
	code, _, errOut := runCommand("manifest", "check", bad)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(errOut, "models[0].versions")) // the path of the problem
	code, out, _ = runCommand("manifest", "diff", good, good)
	is.Equal(code, exitOK)
	is.Equal(out, "")
}

func TestStandinFaultsAreStrict(t *testing.T) {
	is := is.New(t)
	for _, kind := range [][]string{{"platform"}, {"engine", "--id=e", "--zone=z", "--versions=m@1"}, {"service", "--id=s", "--zone=z", "--name=s"}} {
		args := append([]string{"standin"}, kind...)
		code, _, errOut := runCommand(append(args, `--faults={"unheard_of":1}`)...)
		is.Equal(code, exitUsage)
		is.True(strings.Contains(errOut, "unheard_of"))
	}
}

func TestCodesAreListed(t *testing.T) {
	is := is.New(t)
	code, out, _ := runCommand("codes")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "3003  deadline-unmeetable"))
}

func TestDevOnce(t *testing.T) {
	is := is.New(t)
	code, out, errOut := runCommand("dev", "--once", "--callers=127.0.0.1:0", "--operator=127.0.0.1:0")
	if code != exitOK {
		t.Fatalf("exit %d\n%s\n%s", code, out, errOut)
	}
	is.Equal(strings.Count(out, "\n# "), len(devenv.Examples()))
}
