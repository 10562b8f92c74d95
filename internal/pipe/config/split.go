package config

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// split returns the set as encoded changes of at most limit bytes each, or of one larger document.
func split(set config.Set, id string, limit int) ([][]byte, error) {
	splitter := &splitter{emptyPart: config.Change{ID: id, Revision: set.Revision()}, limit: limit}
	splitter.part = splitter.emptyPart
	all := set.Change()
	for i := range all.Services {
		splitter.add(config.Change{Services: all.Services[i : i+1]})
	}
	for i := range all.Accounts {
		splitter.add(config.Change{Accounts: all.Accounts[i : i+1]})
	}
	for i := range all.Backends {
		splitter.add(config.Change{Backends: all.Backends[i : i+1]})
	}
	splitter.flush()
	return splitter.parts, splitter.err
}

// splitter fills one part after the other.
type splitter struct {
	emptyPart, part config.Change
	limit, size int
	parts       [][]byte
	err         error
}

func (splitter *splitter) add(single config.Change) {
	encoded, err := document.Encode(single)
	if err != nil {
		splitter.err = err
		return
	}
	// The size counts the frame of each document's own encoding, so it errs on the safe side.
	if splitter.size > 0 && splitter.size+len(encoded) > splitter.limit {
		splitter.flush()
	}
	splitter.size += len(encoded)
	splitter.part.Services = append(splitter.part.Services, single.Services...)
	splitter.part.Accounts = append(splitter.part.Accounts, single.Accounts...)
	splitter.part.Backends = append(splitter.part.Backends, single.Backends...)
}

// flush ends the part; the set without documents has one part, which carries its revision.
func (splitter *splitter) flush() {
	encoded, err := document.Encode(splitter.part)
	if err != nil {
		splitter.err = err
		return
	}
	splitter.parts = append(splitter.parts, encoded)
	splitter.part, splitter.size = splitter.emptyPart, 0
}
