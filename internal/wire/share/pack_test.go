package share_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

// Guards against a change of a large configuration that is sent as a whole, and against content that does not survive it.
func TestPackedContentIsAsLongAsWhatDiffers(t *testing.T) {
	var routes bytes.Buffer
	for i := range 4000 {
		fmt.Fprintf(&routes, `{"Name":"r-%08x","Service":"kaba98a","TimeoutMs":1500},`, uint32(i)*2654435761)
	}
	base := routes.Bytes()
	content := bytes.Replace(base, []byte("1500"), []byte("1700"), 3)
	for _, c := range []struct {
		name          string
		content, base []byte
		most          int
	}{
		{"whole", content, nil, len(content) / 4},
		{"against a base", content, base, len(content) / 100},
		{"against itself", base, base, len(content) / 100},
		{"empty", nil, base, 100},
	} {
		packed, err := share.Pack(c.content, c.base)
		require.NoError(t, err, c.name)
		assert.LessOrEqual(t, len(packed), c.most, c.name)
		unpacked, err := share.Unpack(packed, c.base)
		require.NoError(t, err, c.name)
		assert.True(t, bytes.Equal(c.content, unpacked), c.name)
	}
}

// Guards against a peer whose message exhausts the memory, or ends the process, when it is unpacked.
func TestUnpackRefusesWhatIsNotPackedContent(t *testing.T) {
	bomb, err := share.Pack(make([]byte, 64<<20), nil)
	require.NoError(t, err)
	needsBase, err := share.Pack([]byte("content"), bytes.Repeat([]byte("base content "), 100))
	require.NoError(t, err)
	for name, packed := range map[string][]byte{"too long": bomb, "cut off": bomb[:len(bomb)/2], "no frame": []byte("content"), "without its base": needsBase} {
		_, err := share.Unpack(packed, nil)
		assert.Error(t, err, name)
	}
}
