package membership

// Digest returns, for each origin, the version up to which the table holds all items.
func (table Table) Digest() []OriginVersion {
	versions := make([]OriginVersion, 0, len(table.records))
	for id, record := range table.records {
		if record.offered() {
			versions = append(versions, OriginVersion{ID: id, Version: record.complete})
		}
	}
	return versions
}

// Compare returns the deltas that the sender of a digest lacks, and for each origin of which the sender has
// items that this table lacks, the version after which this table needs them.
func (table Table) Compare(digest []OriginVersion) (lacking []Delta, wanted []OriginVersion) {
	senderVersions := make(map[ID]uint64, len(digest))
	for _, version := range digest {
		senderVersions[version.ID] = version.Version
		record, ok := table.records[version.ID]
		switch {
		case !ok:
			wanted = append(wanted, OriginVersion{ID: version.ID})
		case !record.offered() && version.Version > record.highestVersion:
			wanted = append(wanted, OriginVersion{ID: version.ID})
		case record.offered() && version.Version > record.complete:
			wanted = append(wanted, OriginVersion{ID: version.ID, Version: record.complete})
		}
	}
	for id, record := range table.records {
		if after := senderVersions[id]; record.offered() && after < record.complete {
			lacking = append(lacking, record.deltaAfter(id, after))
		}
	}
	return lacking, wanted
}

// DeltasAfter returns the deltas that a peer requested, each after the version that the peer gave.
func (table Table) DeltasAfter(wanted []OriginVersion) []Delta {
	var deltas []Delta
	for _, version := range wanted {
		record, ok := table.records[version.ID]
		if ok && record.offered() && version.Version < record.complete {
			deltas = append(deltas, record.deltaAfter(version.ID, version.Version))
		}
	}
	return deltas
}

// deltaAfter returns the delta after a version; it includes the origin only for a receiver at version 0.
//
// Such a receiver has no items of the origin, or only items that were sent ahead of the exchange.
// Any other receiver has the origin from an earlier delta.
func (originRecord *originRecord) deltaAfter(id ID, after uint64) Delta {
	delta := Delta{ID: id, After: after, Complete: originRecord.complete}
	if after == 0 {
		delta.Origin = originRecord.origin
	}
	for _, item := range originRecord.items {
		if item.Version > after && item.Version <= originRecord.complete {
			delta.Items = append(delta.Items, item)
		}
	}
	return delta
}
