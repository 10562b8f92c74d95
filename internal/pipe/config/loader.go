package config

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

const (
	// loadAttempts bounds the attempts to read a checkpoint that is replaced while it is read.
	loadAttempts = 5
	// loadWait is the wait between two attempts.
	loadWait = 100 * time.Millisecond
)

// Reader reads checkpoints from the key-value service.
type Reader interface {
	// Get returns the item of key, or false if there is none.
	Get(ctx context.Context, key string) (kv.Item, bool, error)
	// Range returns up to limit items (0 for all) whose keys have the prefix and are not less than from.
	Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error)
}

// LoadResult is the latest set in the key-value service, and where the log continues after it.
type LoadResult struct {
	Set config.Set
	// Tail is the position from which to follow the log. Set already includes the entries before it.
	Tail kvlog.Tail
}

// Loader reads the configuration when an entry starts.
type Loader struct {
	reader  Reader
	log     Log
	layout  Layout
	history *History
}

// NewLoader returns a loader that records the changes it reads from the log in history.
func NewLoader(reader Reader, log Log, layout Layout, history *History) *Loader {
	return &Loader{reader: reader, log: log, layout: layout, history: history}
}

// errReplaced means that a checkpoint was replaced by a newer one while it was read.
var errReplaced = errors.New("replaced by a newer checkpoint while it was read")

// Load returns the latest set. It retries if a checkpoint is replaced while it is read.
func (loader *Loader) Load(ctx context.Context) (LoadResult, error) {
	for attempt := 1; ; attempt++ {
		loaded, err := loader.tryLoad(ctx)
		var truncated *kvlog.TruncatedError
		if err == nil || attempt == loadAttempts || !errors.Is(err, errReplaced) && !errors.As(err, &truncated) {
			return loaded, err
		}
		if err := pause.For(ctx, loadWait); err != nil {
			return LoadResult{}, err
		}
	}
}

func (loader *Loader) tryLoad(ctx context.Context) (LoadResult, error) {
	latest, err := latestCheckpoint(ctx, loader.reader, loader.layout)
	if err != nil {
		return LoadResult{}, err
	}
	set, err := loader.readCheckpoint(ctx, latest)
	if err != nil {
		return LoadResult{}, err
	}
	tail, err := loader.log.Read(ctx, set.Revision()+1)
	if err != nil {
		return LoadResult{}, err
	}
	for _, entry := range tail.Entries {
		change, err := decode(entry)
		if err != nil {
			return LoadResult{}, err
		}
		before := set
		if set, err = set.WithNext(change); err != nil {
			return LoadResult{}, err
		}
		loader.history.Record(before, change)
	}
	return LoadResult{Set: set, Tail: tail}, nil
}

// readCheckpoint returns the set of a checkpoint, or the empty set if there is no checkpoint.
func (loader *Loader) readCheckpoint(ctx context.Context, from checkpoint) (config.Set, error) {
	set := config.Set{}
	for number := range from.Parts {
		key := loader.layout.part(from, number)
		item, found, err := loader.reader.Get(ctx, key)
		if err != nil {
			return set, err
		}
		if !found {
			return set, fault.Wrap(errReplaced, stepCheckpoint, key)
		}
		part, err := document.Decode(item.Value)
		if err != nil {
			return set, fault.Wrap(err, stepCheckpoint, key)
		}
		set = set.WithChange(part)
	}
	return set, nil
}

// latestCheckpoint returns the checkpoint whose marker has the highest revision, or the zero value.
func latestCheckpoint(ctx context.Context, reader Reader, layout Layout) (checkpoint, error) {
	page, err := reader.Range(ctx, layout.markers(), "", 0)
	if err != nil || len(page.Items) == 0 {
		return checkpoint{}, err
	}
	return layout.decodeMarker(page.Items[len(page.Items)-1])
}
