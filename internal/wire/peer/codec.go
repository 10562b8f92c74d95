package peer

import (
	"errors"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

var errDigestLengths = errors.New("malformed digest: the numbers of ids and versions differ")

var kindToProto = map[membership.Kind]Kind{
	membership.KindMember:         Kind_KIND_MEMBER,
	membership.KindClaim:          Kind_KIND_CLAIM,
	membership.KindLoad:           Kind_KIND_LOAD,
	membership.KindDemand:         Kind_KIND_DEMAND,
	membership.KindSuspectRequest: Kind_KIND_SUSPECT,
	membership.KindLeavingServer:  Kind_KIND_LEAVING,
	membership.KindRevision:       Kind_KIND_REVISION,
}

var conditionToProto = map[membership.Condition]Condition{
	membership.ConditionAlive:   Condition_CONDITION_ALIVE,
	membership.ConditionSuspect: Condition_CONDITION_SUSPECT,
	membership.ConditionGone:    Condition_CONDITION_GONE,
}

var (
	kindFromProto      = invert(kindToProto)
	conditionFromProto = invert(conditionToProto)
)

// EncodeOffer converts an offer to its message.
func EncodeOffer(offer membership.Offer) *ExchangeRequest {
	return &ExchangeRequest{
		Revision: offer.Revision,
		Full:     offer.Full,
		Digest:   encodeDigest(offer.Digest),
		Deltas:   encodeDeltas(offer.Deltas),
	}
}

// DecodeOffer converts a message to an offer; the error reports a malformed digest.
func DecodeOffer(message *ExchangeRequest) (membership.Offer, error) {
	digest, err := decodeDigest(message.GetDigest())
	return membership.Offer{
		Revision: message.GetRevision(),
		Full:     message.GetFull(),
		Digest:   digest,
		Deltas:   decodeDeltas(message.GetDeltas()),
	}, err
}

// EncodeReply converts a reply to its message.
func EncodeReply(reply membership.Reply) *ExchangeResponse {
	return &ExchangeResponse{
		Revision: reply.Revision,
		Deltas:   encodeDeltas(reply.Deltas),
		Wanted:   encodeDigest(reply.Wanted),
	}
}

// DecodeReply converts a message to a reply; the error reports a malformed digest.
func DecodeReply(message *ExchangeResponse) (membership.Reply, error) {
	wanted, err := decodeDigest(message.GetWanted())
	return membership.Reply{
		Revision: message.GetRevision(),
		Deltas:   decodeDeltas(message.GetDeltas()),
		Wanted:   wanted,
	}, err
}

func encodeDigest(versions []membership.OriginVersion) *Digest {
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

func decodeDigest(digest *Digest) ([]membership.OriginVersion, error) {
	if len(digest.GetIds()) != len(digest.GetVersions()) {
		return nil, errDigestLengths
	}
	versions := make([]membership.OriginVersion, len(digest.GetIds()))
	for i, id := range digest.GetIds() {
		versions[i] = membership.OriginVersion{ID: membership.ID(id), Version: digest.GetVersions()[i]}
	}
	return versions, nil
}

func encodeDeltas(deltas []membership.Delta) []*Delta {
	messages := make([]*Delta, len(deltas))
	for i, delta := range deltas {
		messages[i] = &Delta{Id: uint64(delta.ID), After: delta.After, Complete: delta.Complete}
		if delta.Origin != (membership.Origin{}) {
			messages[i].Origin = encodeOrigin(delta.Origin)
		}
		for _, item := range delta.Items {
			messages[i].Items = append(messages[i].Items, encodeItem(item))
		}
	}
	return messages
}

func decodeDeltas(messages []*Delta) []membership.Delta {
	deltas := make([]membership.Delta, len(messages))
	for i, message := range messages {
		deltas[i] = membership.Delta{
			ID:       membership.ID(message.GetId()),
			Origin:   decodeOrigin(message.GetOrigin()),
			After:    message.GetAfter(),
			Complete: message.GetComplete(),
		}
		for _, item := range message.GetItems() {
			// Items of kinds that only a later release has are dropped.
			if _, known := kindFromProto[item.GetKind()]; known {
				deltas[i].Items = append(deltas[i].Items, decodeItem(item))
			}
		}
	}
	return deltas
}

func encodeItem(item membership.Item) *Item {
	message := &Item{
		Kind:    kindToProto[item.Kind],
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

func decodeItem(message *Item) membership.Item {
	item := membership.Item{
		Kind:    kindFromProto[message.GetKind()],
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

func encodeMember(member membership.Member) *Member {
	return &Member{
		Origin:    encodeOrigin(member.Origin),
		Address:   member.Address,
		Domain:    member.Domain,
		Region:    member.Region,
		Version:   member.Version,
		Leaving:   member.Leaving,
		Condition: conditionToProto[member.Condition],
	}
}

func decodeMember(message *Member) membership.Member {
	return membership.Member{
		Origin: decodeOrigin(message.GetOrigin()),
		Profile: membership.Profile{
			Address: message.GetAddress(),
			Domain:  message.GetDomain(),
			Region:  message.GetRegion(),
		},
		Version:   message.GetVersion(),
		Leaving:   message.GetLeaving(),
		Condition: conditionFromProto[message.GetCondition()],
	}
}

func encodeOrigin(origin membership.Origin) *Origin {
	return &Origin{Name: origin.Name, Start: uint64(origin.Incarnation.Start), Random: origin.Incarnation.Random}
}

func decodeOrigin(message *Origin) membership.Origin {
	return membership.Origin{
		Name:        message.GetName(),
		Incarnation: membership.Incarnation{Start: int64(message.GetStart()), Random: message.GetRandom()},
	}
}

// invert returns the map from the values to their keys.
func invert[K, V comparable](values map[K]V) map[V]K {
	keys := map[V]K{}
	for key, value := range values {
		keys[value] = key
	}
	return keys
}
