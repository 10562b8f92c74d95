package config

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// split encodes the set as several changes with the identifier id, the parts of a checkpoint.
//
// Each part has at most limit bytes, or consists of one larger document.
func split(set config.Set, id string, limit int) ([][]byte, error) {
	splitter := &splitter{emptyPart: config.Change{ID: id, Revision: set.Revision()}, limit: limit}
	splitter.part = splitter.emptyPart
	all := set.Change()
	for i := range all.Services {
		splitter.addDocument(config.Change{Services: all.Services[i : i+1]})
	}
	for i := range all.Accounts {
		splitter.addDocument(config.Change{Accounts: all.Accounts[i : i+1]})
	}
	for i := range all.Backends {
		splitter.addDocument(config.Change{Backends: all.Backends[i : i+1]})
	}
	splitter.flush()
	return splitter.parts, splitter.err
}

// splitter adds documents to the current part and starts a new part when the limit is reached.
type splitter struct {
	emptyPart, part config.Change
	limit, size     int
	parts           [][]byte
	err             error
}

func (splitter *splitter) addDocument(single config.Change) {
	encoded, err := document.Encode(single)
	if err != nil {
		splitter.err = err
		return
	}
	// The sum includes the enclosing JSON of each separately encoded document, so it is an upper bound.
	if splitter.size > 0 && splitter.size+len(encoded) > splitter.limit {
		splitter.flush()
	}
	splitter.size += len(encoded)
	splitter.part.Services = append(splitter.part.Services, single.Services...)
	splitter.part.Accounts = append(splitter.part.Accounts, single.Accounts...)
	splitter.part.Backends = append(splitter.part.Backends, single.Backends...)
}

// flush ends the current part. A set without documents gets one empty part, which contains its revision.
func (splitter *splitter) flush() {
	encoded, err := document.Encode(splitter.part)
	if err != nil {
		splitter.err = err
		return
	}
	splitter.parts = append(splitter.parts, encoded)
	splitter.part, splitter.size = splitter.emptyPart, 0
}
