package config

// Change puts and deletes documents as one step.
type Change struct {
	// ID is chosen by the operator and tells a repeat of a change from another change.
	ID string `json:",omitempty"`
	// Revision is that of the set which the change yields, one more than the
	// set that the operator read.
	Revision int64
	Author   string `json:",omitempty"`
	Services []Service
	Accounts []Account
	Backends []Backend
	// Deletes take effect before the documents are put.
	Deletes []Reference
}

// Reference names one document.
type Reference struct {
	Kind Kind
	Name string
}

// Base returns the revision that the change was made from.
func (change Change) Base() int64 { return change.Revision - 1 }

// WithAuthor returns the change with the operator who made it.
func (change Change) WithAuthor(author string) Change {
	change.Author = author
	return change
}

// WithID returns the change with its identifier.
func (change Change) WithID(id string) Change {
	change.ID = id
	return change
}

// WithBase returns the change as made from the set at that revision.
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

// deleted returns the names that the change deletes of one kind.
func (change Change) deleted(kind Kind) []string {
	var names []string
	for _, reference := range change.Deletes {
		if reference.Kind == kind {
			names = append(names, reference.Name)
		}
	}
	return names
}
