package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// stepCheckpoint is the name of the operation in errors of checkpoints.
const stepCheckpoint = "checkpoint"

// Layout is a key prefix, without a slash at its end, from which the keys of the configuration are derived.
type Layout string

// LogPrefix returns the key prefix of the numbered log.
func (layout Layout) LogPrefix() string { return string(layout) + "/log" }

// LeaseKey returns the key of the checkpoint lease.
func (layout Layout) LeaseKey() string { return string(layout) + "/checkpointer" }

func (layout Layout) markers() string { return string(layout) + "/checkpoint/" }

func (layout Layout) marker(revision int64) string {
	return fmt.Sprintf("%s%016d", layout.markers(), revision)
}

// parts returns the key prefix of the parts of all attempts to write a checkpoint of a revision.
func (layout Layout) parts(revision int64) string {
	return fmt.Sprintf("%s/part/%016d/", string(layout), revision)
}

func (layout Layout) part(checkpoint checkpoint, number int) string {
	return fmt.Sprintf("%s%s/%06d", layout.parts(checkpoint.Revision), checkpoint.Attempt, number)
}

// checkpoint identifies a checkpoint; it is the JSON content of the checkpoint's marker.
type checkpoint struct {
	// Revision is part of the marker's key.
	Revision int64 `json:"-"`
	// Attempt identifies one attempt to write a checkpoint and is part of the keys of its parts.
	Attempt string
	Parts   int
}

func (layout Layout) decodeMarker(item kv.Item) (checkpoint, error) {
	var marked checkpoint
	if err := json.Unmarshal(item.Value, &marked); err != nil {
		return marked, fault.Wrap(err, stepCheckpoint, item.Key)
	}
	revision, err := strconv.ParseInt(strings.TrimPrefix(item.Key, layout.markers()), 10, 64)
	marked.Revision = revision
	return marked, fault.Wrap(err, stepCheckpoint, item.Key)
}
