package config

// Change puts and deletes documents atomically.
type Change struct {
	// ID is chosen by the operator; a change with the ID of a committed one is a repeat of it.
	ID string `json:",omitempty"`
	// Revision is the revision of the set that results from the change: one more
	// than that of the set on which the operator based the change.
	Revision int64
	Author   string `json:",omitempty"`
	Services []Service
	Accounts []Account
	Backends []Backend
	// Deletes lists the documents to delete; they are deleted before documents are put.
	Deletes []Reference
}

// Reference identifies one document by kind and name.
type Reference struct {
	Kind Kind
	Name string
}

// Base returns the revision on which the change is based.
func (change Change) Base() int64 { return change.Revision - 1 }

// WithAuthor returns the change with the given operator as its author.
func (change Change) WithAuthor(author string) Change {
	change.Author = author
	return change
}

// WithID returns the change with the given identifier.
func (change Change) WithID(id string) Change {
	change.ID = id
	return change
}

// WithBase returns the change based on the set with the given revision.
func (change Change) WithBase(revision int64) Change {
	change.Revision = revision + 1
	return change
}

// PutReferences returns the references of all documents that the change puts.
func (change Change) PutReferences() []Reference {
	var references []Reference
	for _, service := range change.Services {
		references = append(references, Reference{KindService, service.Name})
	}
	for _, account := range change.Accounts {
		references = append(references, Reference{KindAccount, account.Name})
	}
	for _, backend := range change.Backends {
		references = append(references, Reference{KindBackend, backend.Name})
	}
	return references
}

// deleted returns the names of the documents of one kind that the change deletes.
func (change Change) deleted(kind Kind) []string {
	var names []string
	for _, reference := range change.Deletes {
		if reference.Kind == kind {
			names = append(names, reference.Name)
		}
	}
	return names
}
