package metadata

import (
	"maps"
	"slices"
	"strings"
)

// Listing is the items with a prefix as of a revision of the store. It is immutable; the zero value has no
// items and revision 0.
type Listing struct {
	items    map[string]Item
	revision int64
}

// NewListing returns the listing of items that were read at a revision. Items may be newer than that, as
// those on the later pages of a read.
func NewListing(items []Item, revision int64) Listing {
	byKey := make(map[string]Item, len(items))
	for _, item := range items {
		byKey[item.Key] = item
	}
	return Listing{items: byKey, revision: revision}
}

// Revision returns the revision up to which the listing has all changes.
func (listing Listing) Revision() int64 { return listing.revision }

// Items returns the items ordered by key.
func (listing Listing) Items() []Item {
	return slices.SortedFunc(maps.Values(listing.items), func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
}

// WithEvents returns the listing after the changes up to a revision. A change that is older than the item
// that the listing has of its key changes nothing.
func (listing Listing) WithEvents(events []Event, revision int64) Listing {
	next := Listing{items: listing.items, revision: max(listing.revision, revision)}
	if len(events) == 0 {
		return next
	}
	next.items = maps.Clone(listing.items)
	if next.items == nil {
		next.items = map[string]Item{}
	}
	for _, event := range events {
		if event.Revision <= next.items[event.Key].Revision {
			continue
		}
		if event.Removed {
			delete(next.items, event.Key)
		} else {
			next.items[event.Key] = event.Item
		}
	}
	return next
}
