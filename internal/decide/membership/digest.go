package membership

// Digest returns the versions up to which the table has everything of each origin.
func (table Table) Digest() []Version {
	versions := make([]Version, 0, len(table.records))
	for id, record := range table.records {
		if record.offered() {
			versions = append(versions, Version{ID: id, Version: record.complete})
		}
	}
	return versions
}

// Compare returns what the sender of a digest lacks, and the versions at which this table lags behind it.
func (table Table) Compare(digest []Version) (lacking []Delta, wanted []Version) {
	known := make(map[ID]uint64, len(digest))
	for _, version := range digest {
		known[version.ID] = version.Version
		record, ok := table.records[version.ID]
		switch {
		case !ok:
			wanted = append(wanted, Version{ID: version.ID})
		case !record.offered() && version.Version > record.newest:
			wanted = append(wanted, Version{ID: version.ID})
		case record.offered() && version.Version > record.complete:
			wanted = append(wanted, Version{ID: version.ID, Version: record.complete})
		}
	}
	for id, record := range table.records {
		if after := known[id]; record.offered() && after < record.complete {
			lacking = append(lacking, record.since(id, after))
		}
	}
	return lacking, wanted
}

// Since returns the deltas that another entry asked for.
func (table Table) Since(wanted []Version) []Delta {
	var deltas []Delta
	for _, version := range wanted {
		record, ok := table.records[version.ID]
		if ok && record.offered() && version.Version < record.complete {
			deltas = append(deltas, record.since(version.ID, version.Version))
		}
	}
	return deltas
}

// since names the origin only to a receiver that has nothing of it.
//
// A receiver that first heard of the origin by a rumour has version 0 as well.
func (known *record) since(id ID, after uint64) Delta {
	delta := Delta{ID: id, After: after, Complete: known.complete}
	if after == 0 {
		delta.Origin = known.origin
	}
	for _, item := range known.items {
		if item.Version > after && item.Version <= known.complete {
			delta.Items = append(delta.Items, item)
		}
	}
	return delta
}
