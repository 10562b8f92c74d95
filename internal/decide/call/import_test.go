package call_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// allowed lists the import path prefixes, outside the standard library, that a decision package may import.
var allowed = []string{
	"github.com/rosemaryspar/rosemaryspar/internal/decide/",
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu",
	"github.com/qmuntal/stateless",
	"github.com/cespare/xxhash/v2",
	// Persistent maps, without a transport, codec, log or clock.
	"github.com/benbjohnson/immutable",
	"k8s.io/apimachinery/pkg/labels",
}

// forbidden lists the standard library's packages for transports, codecs, logging and system access.
var forbidden = []string{"net", "encoding/json", "encoding/gob", "encoding/xml", "log", "os", "syscall", "io/ioutil", "database"}

// clockReads lists the calls of package time that read the clock or wait.
var clockReads = []string{"time.Now(", "time.Since(", "time.Until(", "time.After(", "time.AfterFunc(", "time.Sleep(", "time.NewTimer(", "time.NewTicker(", "time.Tick("}

// Guards against decision packages (internal/decide) that depend on a transport, a codec, a logger or the clock.
func TestDecisionPackagesArePure(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		require.NoError(t, err)
		file, err := parser.ParseFile(token.NewFileSet(), path, source, parser.ImportsOnly)
		require.NoError(t, err)
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			require.NoError(t, err)
			assert.True(t, pure(name), "%s imports %s", path, name)
		}
		for _, read := range clockReads {
			assert.NotContains(t, string(source), read, "%s reads the clock", path)
		}
		return nil
	})
	require.NoError(t, err)
}

// pure reports whether a decision package may import the package of that path.
func pure(name string) bool {
	if !strings.Contains(strings.Split(name, "/")[0], ".") {
		for _, prefix := range forbidden {
			if name == prefix || strings.HasPrefix(name, prefix+"/") {
				return false
			}
		}
		return true
	}
	for _, prefix := range allowed {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
