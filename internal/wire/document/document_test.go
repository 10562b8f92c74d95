package document_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// Guards against a decoder that silently drops misspelt keys, and against errors without a position.
func TestDecodeErrorsHavePosition(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"sound", `{"ID":"1","Base":0,"Backends":[{"Name":"a","Slots":2}]}`, ""},
		{"unknown", `{"ID":"1","Base":0,"Backends":[{"Name":"a"},{"Title":"b"}]}`, `line 1 column 1: unknown field "Backends[1].Title"`},
		{"case", `{"ID":"1","base":0}`, `line 1 column 1: unknown field "base"`},
		{"repeated", `{"ID":"1","Base":0,"Base":1}`, `line 1 column 1: duplicate field "Base"`},
		{"kind", "{\"ID\":\"1\",\"Base\":0,\n\"Backends\":[{\"Slots\":\"2\"}]}", `line 2 column 25, Backends.Slots: a string is not allowed, must be a int`},
		{"syntax", "{\"ID\":\"1\",\n  x}", "line 2 column 4: invalid character 'x'"},
		{"no base", `{"ID":"1"}`, "Base: missing"},
		{"negative base", `{"ID":"1","Base":-1}`, "Base: out of range"},
		{"no identifier", `{"Base":3}`, "ID: must be 1 to 128 bytes"},
		{"trailing", `{"ID":"1","Base":0} {}`, "line 1 column 22: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			change, err := document.Decode([]byte(c.text))
			if c.want == "" {
				require.NoError(t, err)
				assert.Equal(t, config.Change{ID: "1", Revision: 1, Backends: []config.Backend{{Name: "a", Slots: 2}}}, change)
				return
			}
			var decodeErr *document.Error
			require.ErrorAs(t, err, &decodeErr)
			assert.Contains(t, err.Error(), c.want)
		})
	}
}

// Guards against a decoder that drops some documents of a file, and against errors with the position of another
// document.
func TestDecodeFile(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"several", "{\"Kind\":\"Backend\",\"Name\":\"a\"}\n{\"Base\":4,\"Deletes\":[{\"Kind\":\"Account\",\"Name\":\"x\"}]}\n{\"Kind\":\"Backend\",\"Name\":\"b\"}", ""},
		{"unknown field", "{\"Kind\":\"Backend\",\"Name\":\"a\"}\n\n{\"Kind\":\"Service\",\"Slots\":1}", `line 3 column 1: unknown field "Slots"`},
		{"unknown kind", `{"Kind":"Shop"}`, `line 1 column 1, Kind: unknown kind "Shop"`},
		{"two bases", `{"Base":1}{"Base":2}`, "Base: the file has two different values, 1 and 2"},
		{"syntax", "{}\n{", "line 2"},
		{"list", `[1]`, "line 1 column 1: must be an object"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			change, err := document.DecodeFile([]byte(c.text))
			if c.want == "" {
				require.NoError(t, err)
				assert.Equal(t, config.Change{
					Revision: 5, Backends: []config.Backend{{Name: "a"}, {Name: "b"}},
					Deletes: []config.Reference{{Kind: config.KindAccount, Name: "x"}},
				}, change)
				return
			}
			require.ErrorContains(t, err, c.want)
		})
	}
}

// FuzzDecode guards against inputs that crash the decoder, and against changes that differ after they were
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	seeds, err := filepath.Glob("testdata/*.json")
	require.NoError(f, err)
	require.NotEmpty(f, seeds)
	for _, seed := range seeds {
		text, err := os.ReadFile(seed)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, _ = document.DecodeFile(text)
		change, err := document.Decode(text)
		if err != nil {
			return
		}
		stored, err := document.Encode(change)
		require.NoError(t, err)
		redecoded, err := document.Decode(stored)
		require.NoError(t, err)
		reencoded, err := document.Encode(redecoded)
		require.NoError(t, err)
		assert.Equal(t, string(stored), string(reencoded))
	})
}
