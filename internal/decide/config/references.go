package config

import (
	"fmt"
	"slices"

	"k8s.io/apimachinery/pkg/labels"
)

// checkReferences reports documents that the change lists twice and deletes of documents that do not exist.
func checkReferences(report *report, set Set, change Change) {
	listed := map[Reference]bool{}
	for _, reference := range slices.Concat(change.PutReferences(), change.Deletes) {
		location := report.locate(reference.Kind, reference.Name)
		location.require(!listed[reference], "Name", "listed twice in the change", "each document once, put or deleted")
		listed[reference] = true
	}
	for _, reference := range change.Deletes {
		location := report.locate(reference.Kind, reference.Name)
		requireKnown(location, reference.Kind, "Kind", KindService, KindAccount, KindBackend)
		location.require(set.Has(reference), "Name", "a delete of a document that does not exist", "the name of a document in force")
	}
	if len(listed) == 0 {
		report.locate("", "").add(SeverityError, "", "contains no document and no delete", "at least one document or delete")
	}
}

// checkKeyHashes reports each client account in the change whose access key another account uses too.
func checkKeyHashes(report *report, next Set, change Change) {
	if len(change.Accounts) == 0 {
		return
	}
	owners := map[string][]string{}
	for name, account := range next.EachAccount() {
		owners[account.KeyHash] = append(owners[account.KeyHash], name)
	}
	for _, account := range change.Accounts {
		for _, owner := range owners[account.KeyHash] {
			report.locate(KindAccount, account.Name).require(owner == account.Name, "KeyHash",
				fmt.Sprintf("client account %q has the same key", owner), "a different key for each client account")
		}
	}
}

// checkSelection reports services that match no backend server because of the change,
// and backend servers in the change that no service selects.
func checkSelection(report *report, set, next Set, change Change) {
	if len(change.Services)+len(change.Backends)+len(change.Deletes) == 0 {
		return
	}
	put := map[string]bool{}
	for _, service := range change.Services {
		put[service.Name] = true
	}
	var selectors []labels.Selector
	for name, service := range next.EachService() {
		selector, err := labels.Parse(service.Selector)
		if err != nil {
			continue
		}
		selectors = append(selectors, selector)
		if !set.anyBackend(selector) && !put[name] || next.anyBackend(selector) {
			continue
		}
		report.locate(KindService, name).add(SeverityWarning, "Selector",
			fmt.Sprintf("%q matches no backend server", service.Selector), "a selector that matches the labels of a backend server")
	}
	for _, backend := range change.Backends {
		selected := slices.ContainsFunc(selectors, func(selector labels.Selector) bool {
			return selector.Matches(labels.Set(backend.Labels))
		})
		if !selected {
			report.locate(KindBackend, backend.Name).add(SeverityWarning, "Labels",
				"no service selects this backend server", "labels that match the selector of a service")
		}
	}
}

// anyBackend reports whether the selector matches a backend server of the set.
func (set Set) anyBackend(selector labels.Selector) bool {
	for _, backend := range set.EachBackend() {
		if selector.Matches(labels.Set(backend.Labels)) {
			return true
		}
	}
	return false
}

// Selected returns references to all documents whose labels match a Kubernetes selector,
// ordered by kind and name, or an error if the selector cannot be parsed.
func (set Set) Selected(expression string) ([]Reference, error) {
	selector, err := labels.Parse(expression)
	if err != nil {
		return nil, fmt.Errorf("selector %q: %w", expression, err)
	}
	var selected []Reference
	add := func(kind Kind, name string, documentLabels map[string]string) {
		if selector.Matches(labels.Set(documentLabels)) {
			selected = append(selected, Reference{kind, name})
		}
	}
	for name, service := range set.EachService() {
		add(KindService, name, service.Labels)
	}
	for name, account := range set.EachAccount() {
		add(KindAccount, name, account.Labels)
	}
	for name, backend := range set.EachBackend() {
		add(KindBackend, name, backend.Labels)
	}
	return selected, nil
}
