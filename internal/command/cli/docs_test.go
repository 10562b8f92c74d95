package cli_test

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// flagNames collects the names of declared flags.
type flagNames []string

func (flagNames *flagNames) String(_ *string, _, long, _ string) {
	*flagNames = append(*flagNames, "--"+long)
}

// Guards against a docs/configuration.md that omits a field or a setting, or that contains an example
// which the validator rejects.
func TestConfigurationPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/configuration.md")
	require.NoError(t, err)
	var names flagNames
	settings.NewReader(&names)
	for _, document := range []any{config.Service{}, config.Account{}, config.Backend{}} {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(document)) {
			names = append(names, field.Name)
		}
	}
	for _, name := range names {
		row := regexp.MustCompile(`(?m)^\| ` + "`" + regexp.QuoteMeta(name) + "`")
		assert.True(t, row.Match(page), "docs/configuration.md has no table row for %s", name)
	}
	examples := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllSubmatch(page, -1)
	require.Len(t, examples, 2)
	for i, backends := range []int{15, 21} {
		change, err := document.DecodeFile(examples[i][1])
		require.NoError(t, err)
		assert.Len(t, change.Backends, backends)
		assert.Len(t, change.Accounts, 5)
		assert.Empty(t, config.NewValidator(document.AddressChecker{}).Validate(config.Set{}, change, config.Usage{}))
	}
}
