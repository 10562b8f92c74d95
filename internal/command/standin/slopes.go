package standin

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/slopes"
)

// slopesCommand measures the marginal costs of an entry process with package slopes.
type slopesCommand struct{}

func (slopesCommand) declare(*flaggy.Subcommand) {}

func (slopesCommand) run(ctx context.Context, output io.Writer) error {
	return slopes.Run(ctx, output)
}
