package config

import (
	"fmt"
	"iter"
	"reflect"
)

// Operation is the way in which a document differs between two sets.
type Operation string

// The operations on documents.
const (
	OperationAdded   Operation = "Added"
	OperationChanged Operation = "Changed"
	OperationDeleted Operation = "Deleted"
)

// Difference describes one document that differs between two sets.
type Difference struct {
	Operation Operation
	Kind      Kind
	Name      string
	// Fields lists the fields that differ; it is empty unless Operation is [OperationChanged].
	Fields []FieldDifference `json:",omitempty"`
}

// FieldDifference is a changed field of a document with its old and new value as text.
type FieldDifference struct {
	Field, Before, After string
}

// Diff returns the differences between two sets, ordered by kind and name.
func Diff(before, after Set) []Difference {
	differences := diffTables(nil, KindService, before.services, after.services)
	differences = diffTables(differences, KindAccount, before.accounts, after.accounts)
	return diffTables(differences, KindBackend, before.backends, after.backends)
}

// diffTables appends the differences between two tables of one kind to differences. It merges
// the tables in name order and compares only documents whose pointers differ.
func diffTables[T any](differences []Difference, kind Kind, before, after table[T]) []Difference {
	if before.documents == after.documents {
		return differences
	}
	next, stop := iter.Pull2(after.pointers())
	defer stop()
	name, document, ok := next()
	appendAdded := func() {
		differences = append(differences, Difference{Operation: OperationAdded, Kind: kind, Name: name})
		name, document, ok = next()
	}
	for oldName, old := range before.pointers() {
		for ok && name < oldName {
			appendAdded()
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
		appendAdded()
	}
	return differences
}

// diffFields returns the fields whose values differ as text.
func diffFields[T any](before, after T) []FieldDifference {
	var fields []FieldDifference
	oldValue, newValue := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range oldValue.NumField() {
		// fmt prints maps sorted by key, and a nil map like an empty one.
		oldText, newText := fmt.Sprint(oldValue.Field(i)), fmt.Sprint(newValue.Field(i))
		if oldText != newText {
			fields = append(fields, FieldDifference{oldValue.Type().Field(i).Name, oldText, newText})
		}
	}
	return fields
}

// WithoutUnchanged returns the change without the documents that the set already holds with equal fields.
func (change Change) WithoutUnchanged(set Set) Change {
	change.Services = changedDocuments(change.Services, set.services, serviceName)
	change.Accounts = changedDocuments(change.Accounts, set.accounts, accountName)
	change.Backends = changedDocuments(change.Backends, set.backends, backendName)
	return change
}

// changedDocuments returns the documents that the table does not hold with equal fields.
func changedDocuments[T any](documents []T, table table[T], name func(T) string) []T {
	var changed []T
	for _, document := range documents {
		if current, ok := table.get(name(document)); !ok || len(diffFields(current, document)) > 0 {
			changed = append(changed, document)
		}
	}
	return changed
}

// Empty reports whether the change neither puts nor deletes a document.
func (change Change) Empty() bool {
	return len(change.Services)+len(change.Accounts)+len(change.Backends)+len(change.Deletes) == 0
}
