package peer

import (
	"errors"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
)

var errDigest = errors.New("digest with a different number of ids and versions")

var kinds = map[vm.Kind]Kind{
	vm.KindMember:   Kind_KIND_MEMBER,
	vm.KindClaim:    Kind_KIND_CLAIM,
	vm.KindLoad:     Kind_KIND_LOAD,
	vm.KindDemand:   Kind_KIND_DEMAND,
	vm.KindSuspect:  Kind_KIND_SUSPECT,
	vm.KindLeaving:  Kind_KIND_LEAVING,
	vm.KindRevision: Kind_KIND_REVISION,
}

var conditions = map[vm.Condition]Condition{
	vm.ConditionAlive:   Condition_CONDITION_ALIVE,
	vm.ConditionSuspect: Condition_CONDITION_SUSPECT,
	vm.ConditionGone:    Condition_CONDITION_GONE,
}

var (
	kindNames      = inverted(kinds)
	conditionNames = inverted(conditions)
)

// EncodeOffer returns the message for an offer.
func EncodeOffer(offer vm.Offer) *ExchangeRequest {
	return &ExchangeRequest{
		Revision: offer.Revision,
		Full:     offer.Full,
		Digest:   encodeDigest(offer.Digest),
		Deltas:   encodeDeltas(offer.Deltas),
	}
}

// DecodeOffer returns the offer in a message.
func DecodeOffer(message *ExchangeRequest) (vm.Offer, error) {
	digest, err := decodeDigest(message.GetDigest())
	return vm.Offer{
		Revision: message.GetRevision(),
		Full:     message.GetFull(),
		Digest:   digest,
		Deltas:   decodeDeltas(message.GetDeltas()),
	}, err
}

// EncodeReply returns the message for a reply.
func EncodeReply(reply vm.Reply) *ExchangeResponse {
	return &ExchangeResponse{
		Revision: reply.Revision,
		Deltas:   encodeDeltas(reply.Deltas),
		Wanted:   encodeDigest(reply.Wanted),
	}
}

// DecodeReply returns the reply in a message.
func DecodeReply(message *ExchangeResponse) (vm.Reply, error) {
	wanted, err := decodeDigest(message.GetWanted())
	return vm.Reply{
		Revision: message.GetRevision(),
		Deltas:   decodeDeltas(message.GetDeltas()),
		Wanted:   wanted,
	}, err
}

func encodeDigest(versions []vm.Version) *Digest {
	if len(versions) == 0 {
		return nil
	}
	digest := &Digest{Ids: make([]uint64, len(versions)), Versions: make([]uint64, len(versions))}
	for i, version := range versions {
		digest.Ids[i] = uint64(version.ID)
		digest.Versions[i] = version.Version
	}
	return digest
}

func decodeDigest(digest *Digest) ([]vm.Version, error) {
	if len(digest.GetIds()) != len(digest.GetVersions()) {
		return nil, errDigest
	}
	versions := make([]vm.Version, len(digest.GetIds()))
	for i, id := range digest.GetIds() {
		versions[i] = vm.Version{ID: vm.ID(id), Version: digest.GetVersions()[i]}
	}
	return versions, nil
}

func encodeDeltas(deltas []vm.Delta) []*Delta {
	messages := make([]*Delta, len(deltas))
	for i, delta := range deltas {
		messages[i] = &Delta{Id: uint64(delta.ID), After: delta.After, Complete: delta.Complete}
		if delta.Origin != (vm.Origin{}) {
			messages[i].Origin = encodeOrigin(delta.Origin)
		}
		for _, item := range delta.Items {
			messages[i].Items = append(messages[i].Items, encodeItem(item))
		}
	}
	return messages
}

func decodeDeltas(messages []*Delta) []vm.Delta {
	deltas := make([]vm.Delta, len(messages))
	for i, message := range messages {
		deltas[i] = vm.Delta{
			ID:       vm.ID(message.GetId()),
			Origin:   decodeOrigin(message.GetOrigin()),
			After:    message.GetAfter(),
			Complete: message.GetComplete(),
		}
		for _, item := range message.GetItems() {
			// A kind of a later release of the program means nothing to this one.
			if _, known := kindNames[item.GetKind()]; known {
				deltas[i].Items = append(deltas[i].Items, decodeItem(item))
			}
		}
	}
	return deltas
}

func encodeItem(item vm.Item) *Item {
	message := &Item{
		Kind:    kinds[item.Kind],
		Key:     item.Key,
		Version: item.Version,
		Payload: item.Payload,
		Expires: item.Expires,
	}
	if item.Member != nil {
		message.Member = encodeMember(*item.Member)
	}
	return message
}

func decodeItem(message *Item) vm.Item {
	item := vm.Item{
		Kind:    kindNames[message.GetKind()],
		Key:     message.GetKey(),
		Version: message.GetVersion(),
		Payload: message.GetPayload(),
		Expires: message.GetExpires(),
	}
	if message.GetMember() != nil {
		member := decodeMember(message.GetMember())
		item.Member = &member
	}
	return item
}

func encodeMember(member vm.Member) *Member {
	return &Member{
		Origin:    encodeOrigin(member.Origin),
		Address:   member.Address,
		Domain:    member.Domain,
		Region:    member.Region,
		Version:   member.Version,
		Leaving:   member.Leaving,
		Condition: conditions[member.Condition],
	}
}

func decodeMember(message *Member) vm.Member {
	return vm.Member{
		Origin: decodeOrigin(message.GetOrigin()),
		Profile: vm.Profile{
			Address: message.GetAddress(),
			Domain:  message.GetDomain(),
			Region:  message.GetRegion(),
		},
		Version:   message.GetVersion(),
		Leaving:   message.GetLeaving(),
		Condition: conditionNames[message.GetCondition()],
	}
}

func encodeOrigin(origin vm.Origin) *Origin {
	return &Origin{Name: origin.Name, Start: uint64(origin.Incarnation.Start), Random: origin.Incarnation.Random}
}

func decodeOrigin(message *Origin) vm.Origin {
	return vm.Origin{
		Name:        message.GetName(),
		Incarnation: vm.Incarnation{Start: int64(message.GetStart()), Random: message.GetRandom()},
	}
}

func inverted[K, V comparable](values map[K]V) map[V]K {
	keys := map[V]K{}
	for key, value := range values {
		keys[value] = key
	}
	return keys
}
