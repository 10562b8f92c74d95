package config

import (
	"fmt"
	"iter"
	"reflect"
)

// Operation says what became of a document between two sets.
type Operation string

// The operations on documents.
const (
	OperationAdded   Operation = "Added"
	OperationChanged Operation = "Changed"
	OperationDeleted Operation = "Deleted"
)

// Difference is one document that two sets do not have in common.
type Difference struct {
	Operation Operation
	Kind      Kind
	Name      string
	// Fields are those that differ, of a changed document only.
	Fields []FieldDifference `json:",omitempty"`
}

// FieldDifference is one field of a document with both values as text.
type FieldDifference struct {
	Field, Before, After string
}

// Diff returns the differences from before to after, in the order of kinds and names.
func Diff(before, after Set) []Difference {
	differences := diffTables(nil, KindService, before.services, after.services)
	differences = diffTables(differences, KindAccount, before.accounts, after.accounts)
	return diffTables(differences, KindBackend, before.backends, after.backends)
}

func diffTables[T any](differences []Difference, kind Kind, before, after table[T]) []Difference {
	if before.documents == after.documents {
		return differences
	}
	next, stop := iter.Pull2(after.shared())
	defer stop()
	name, document, ok := next()
	added := func() {
		differences = append(differences, Difference{Operation: OperationAdded, Kind: kind, Name: name})
		name, document, ok = next()
	}
	for oldName, old := range before.shared() {
		for ok && name < oldName {
			added()
		}
		if !ok || name != oldName {
			differences = append(differences, Difference{Operation: OperationDeleted, Kind: kind, Name: oldName})
			continue
		}
		if old == document {
			name, document, ok = next()
			continue
		}
		if fields := diffFields(*old, *document); len(fields) > 0 {
			differences = append(differences, Difference{Operation: OperationChanged, Kind: kind, Name: name, Fields: fields})
		}
		name, document, ok = next()
	}
	for ok {
		added()
	}
	return differences
}

func diffFields[T any](before, after T) []FieldDifference {
	var fields []FieldDifference
	old, new := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		// Labels print in the order of their keys, and an absent map like an empty one.
		was, is := fmt.Sprint(old.Field(i)), fmt.Sprint(new.Field(i))
		if was != is {
			fields = append(fields, FieldDifference{old.Type().Field(i).Name, was, is})
		}
	}
	return fields
}

// WithoutUnchanged returns the change without the documents that the set already holds unchanged.
func (change Change) WithoutUnchanged(set Set) Change {
	change.Services = differing(change.Services, set.services, serviceName)
	change.Accounts = differing(change.Accounts, set.accounts, accountName)
	change.Backends = differing(change.Backends, set.backends, backendName)
	return change
}

func differing[T any](documents []T, table table[T], name func(T) string) []T {
	var kept []T
	for _, document := range documents {
		if current, ok := table.get(name(document)); !ok || len(diffFields(current, document)) > 0 {
			kept = append(kept, document)
		}
	}
	return kept
}

// Empty reports whether the change puts and deletes nothing.
func (change Change) Empty() bool {
	return len(change.Services)+len(change.Accounts)+len(change.Backends)+len(change.Deletes) == 0
}
