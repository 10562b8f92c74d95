package share

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
)

// EncodeServers encodes servers as the content of a cached read.
//
// The encoding is deterministic, so that equal lists have the same digest.
func EncodeServers(servers []directory.Server) ([]byte, error) {
	list := &ServerList{Servers: encodeListedServers(servers)}
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(list)
	return content, fault.Wrap(err, StepShare, "")
}

// DecodeServers decodes servers that [EncodeServers] encoded.
func DecodeServers(content []byte) ([]directory.Server, error) {
	list := &ServerList{}
	if err := proto.Unmarshal(content, list); err != nil {
		return nil, fault.Wrap(err, StepShare, "")
	}
	return decodeListedServers(list.GetServers()), nil
}

func encodeListedServers(servers []directory.Server) []*ListedServer {
	encoded := make([]*ListedServer, len(servers))
	for i, server := range servers {
		encoded[i] = &ListedServer{
			Id: server.ID, Service: server.Service, Address: server.Address, Domain: server.Domain, Slots: int32(server.Slots),
			Leaving: server.State == directory.StateLeaving, Born: server.StartedMs, Reclaimable: server.Reclaimable, Version: server.Version,
		}
	}
	return encoded
}

func decodeListedServers(encoded []*ListedServer) []directory.Server {
	servers := make([]directory.Server, len(encoded))
	for i, server := range encoded {
		state := directory.StateReady
		if server.GetLeaving() {
			state = directory.StateLeaving
		}
		servers[i] = directory.Server{
			ID: server.GetId(), Service: server.GetService(), Address: server.GetAddress(), Domain: server.GetDomain(),
			Slots: int(server.GetSlots()), State: state, StartedMs: server.GetBorn(), Reclaimable: server.GetReclaimable(),
			Version: server.GetVersion(),
		}
	}
	return servers
}

func encodeStateMessage(message share.StateMessage) *ShareRequest {
	request := &ShareRequest{
		Sender:  encodeEntryState(message.Sender),
		Reports: message.IsHeartbeat,
		Push:    message.IsPush,
		Groups:  encodeAggregates(message.Aggregates),
		Usage:   make([]*Usage, len(message.Usage)),
		Rolls:   encodeMemberLists(message.MemberLists),
		Rosters: make([]*Roster, len(message.MemberDigests)),
		Routes:  encodeCachedRead(message.Routes),
		Servers: encodeCachedRead(message.Servers),
	}
	for i, usage := range message.Usage {
		request.Usage[i] = encodeUsage(usage)
	}
	for i, digest := range message.MemberDigests {
		request.Rosters[i] = &Roster{Id: digest.ID, Digest: digest.Digest}
	}
	return request
}

func decodeStateMessage(request *ShareRequest) share.StateMessage {
	message := share.StateMessage{
		Sender:      decodeEntryState(request.GetSender()),
		IsHeartbeat: request.GetReports(),
		IsPush:      request.GetPush(),
		Aggregates:  decodeAggregates(request.GetGroups()),
		MemberLists: decodeMemberLists(request.GetRolls()),
		Routes:      decodeCachedRead(request.GetRoutes()),
		Servers:     decodeCachedRead(request.GetServers()),
	}
	for _, usage := range request.GetUsage() {
		message.Usage = append(message.Usage, decodeUsage(usage))
	}
	for _, digest := range request.GetRosters() {
		message.MemberDigests = append(message.MemberDigests, cluster.MemberDigest{ID: digest.GetId(), Digest: digest.GetDigest()})
	}
	return message
}

func encodeReply(reply share.Reply) *ShareResponse {
	return &ShareResponse{
		Replier: encodeEntryState(reply.Replier), Groups: encodeAggregates(reply.Aggregates),
		Rolls: encodeMemberLists(reply.MemberLists), Roster: reply.MemberDigest,
		Routes: encodeCachedRead(reply.Routes), Servers: encodeCachedRead(reply.Servers),
	}
}

func decodeReply(response *ShareResponse) share.Reply {
	return share.Reply{
		Replier: decodeEntryState(response.GetReplier()), Aggregates: decodeAggregates(response.GetGroups()),
		MemberLists: decodeMemberLists(response.GetRolls()), MemberDigest: response.GetRoster(),
		Routes: decodeCachedRead(response.GetRoutes()), Servers: decodeCachedRead(response.GetServers()),
	}
}

func encodeCachedRead(read share.CachedRead) *Holding {
	encoded := &Holding{
		Revision: read.Revision, AgeUs: read.Age.Microseconds(), Digest: read.Digest,
		Content: read.Content, Packed: read.Packed, PackedBase: read.PackedBase,
	}
	if read.Delta != nil {
		encoded.Delta = &ServerListDelta{Base: read.DeltaBase, Changed: encodeListedServers(read.Delta.Changed), Removed: read.Delta.Removed}
	}
	return encoded
}

func decodeCachedRead(read *Holding) share.CachedRead {
	decoded := share.CachedRead{
		Revision: read.GetRevision(),
		Age:      time.Duration(read.GetAgeUs()) * time.Microsecond,
		Digest:   read.GetDigest(),
	}
	if len(read.GetContent()) > 0 {
		decoded.Content = read.GetContent()
	}
	if len(read.GetPacked()) > 0 {
		decoded.Packed, decoded.PackedBase = read.GetPacked(), read.GetPackedBase()
	}
	if delta := read.GetDelta(); delta != nil {
		decoded.DeltaBase = delta.GetBase()
		decoded.Delta = &directory.Delta{Changed: decodeListedServers(delta.GetChanged()), Removed: delta.GetRemoved()}
	}
	return decoded
}

func encodeMember(member cluster.Member) *Member {
	return &Member{
		Name: member.Name, Address: member.Address, Domain: member.Domain, Incarnation: member.Incarnation,
		Stopping: member.Stopping, Holds: member.IsLeader, StoreOut: member.StoreUnreachable, Power: member.Cores,
	}
}

func decodeMember(member *Member) cluster.Member {
	return cluster.Member{
		Name: member.GetName(), Address: member.GetAddress(), Domain: member.GetDomain(), Incarnation: member.GetIncarnation(),
		Stopping: member.GetStopping(), IsLeader: member.GetHolds(), StoreUnreachable: member.GetStoreOut(), Cores: member.GetPower(),
	}
}

func encodeMembers(members []cluster.Member) []*Member {
	encoded := make([]*Member, len(members))
	for i, member := range members {
		encoded[i] = encodeMember(member)
	}
	return encoded
}

// decodeMembers decodes members and orders them by name, which a sound entry has done already.
func decodeMembers(encoded []*Member) []cluster.Member {
	var members []cluster.Member
	for _, member := range encoded {
		members = append(members, decodeMember(member))
	}
	byName := func(a, b cluster.Member) int { return strings.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(members, byName) {
		slices.SortFunc(members, byName)
	}
	return slices.CompactFunc(members, func(a, b cluster.Member) bool { return a.Name == b.Name })
}

func encodeEntryState(state cluster.EntryState) *Neighbour {
	encoded := &Neighbour{
		Member:   encodeMember(state.Member),
		Sequence: state.Sequence,
		ClockUs:  state.Clock.UnixMicro(),
		Work: encodeWork(state.Admitted, state.Asked, cluster.Levels{
			Running: state.Running, Demand: state.Demand, PrefillSamples: state.PrefillSamples,
			PaceLogs: state.PaceLogs, PaceSamples: state.PaceSamples, MovedEntries: state.MovedEntries, ShareFigures: state.ShareFigures,
		}),
		Leaving:         state.LeavingServers,
		StoppedRollouts: state.StoppedRollouts,
	}
	for window, digest := range state.Reported.Digests() {
		encoded.ReportedWindows = append(encoded.ReportedWindows, &ReportedWindow{Window: window, Counts: digest})
	}
	encoded.Work.RolloutCounts = encodeEvidence(state.Evidence)
	for _, report := range state.CrashReports {
		encoded.Suspects = append(encoded.Suspects, &Suspect{
			Account: report.Fingerprint.Account, Content: report.Fingerprint.Content, Server: report.Server, AtUs: report.At.UnixMicro(),
		})
	}
	for _, report := range state.PartReports {
		encoded.PartSuspects = append(encoded.PartSuspects, &PartSuspect{
			Part: uint64(report.Part), Server: report.Crash.Server, Request: report.Crash.Request, AtUs: report.Crash.At.UnixMicro(),
		})
	}
	return encoded
}

func decodeEntryState(encoded *Neighbour) cluster.EntryState {
	state := cluster.EntryState{
		Member: decodeMember(encoded.GetMember()), Sequence: encoded.GetSequence(),
		Clock: time.UnixMicro(encoded.GetClockUs()), LeavingServers: encoded.GetLeaving(),
		StoppedRollouts: encoded.GetStoppedRollouts(), Evidence: decodeEvidence(encoded.GetWork().GetRolloutCounts()),
	}
	var levels cluster.Levels
	state.Admitted, state.Asked, levels = decodeWork(encoded.GetWork())
	state.Running, state.Demand, state.PrefillSamples = levels.Running, levels.Demand, levels.PrefillSamples
	state.PaceLogs, state.PaceSamples, state.MovedEntries = levels.PaceLogs, levels.PaceSamples, levels.MovedEntries
	if windows := encoded.GetReportedWindows(); len(windows) > 0 {
		digests := make(map[int64]uint64, len(windows))
		for _, reported := range windows {
			digests[reported.GetWindow()] = reported.GetCounts()
		}
		state.Reported = usage.ReportedOf(digests)
	}
	state.ShareFigures = levels.ShareFigures
	for _, report := range encoded.GetSuspects() {
		if isFromFuture(report.GetAtUs()) {
			continue
		}
		state.CrashReports = append(state.CrashReports, suspect.Report{
			Fingerprint: suspect.Fingerprint{Account: report.GetAccount(), Content: report.GetContent()},
			Server:      report.GetServer(),
			At:          time.UnixMicro(report.GetAtUs()),
		})
	}
	for _, report := range encoded.GetPartSuspects() {
		if isFromFuture(report.GetAtUs()) {
			continue
		}
		state.PartReports = append(state.PartReports, suspect.PartReport{
			Part:  suspect.PartFingerprint(report.GetPart()),
			Crash: suspect.PartCrash{Server: report.GetServer(), Request: report.GetRequest(), At: time.UnixMicro(report.GetAtUs())},
		})
	}
	return state
}

func encodeAggregates(aggregates []cluster.Aggregate) []*Group {
	encoded := make([]*Group, len(aggregates))
	for i, aggregate := range aggregates {
		encoded[i] = &Group{
			Id: aggregate.ID, Sequence: aggregate.Sequence, AgeUs: aggregate.Age.Microseconds(), Roster: aggregate.MemberDigest,
			Work: encodeWork(aggregate.Admitted, aggregate.Asked, aggregate.Levels()),
		}
		encoded[i].Work.RolloutCounts = encodeEvidence(aggregate.Evidence)
		encoded[i].Members = encodeMembers(aggregate.Members)
	}
	return encoded
}

func encodeMemberLists(lists []cluster.MemberList) []*Roll {
	encoded := make([]*Roll, len(lists))
	for i, list := range lists {
		encoded[i] = &Roll{By: list.Origin, Members: encodeMembers(list.Members), Told: list.Relayed}
	}
	return encoded
}

func decodeMemberLists(encoded []*Roll) []cluster.MemberList {
	var lists []cluster.MemberList
	for _, message := range encoded {
		lists = append(lists, cluster.MemberList{Origin: message.GetBy(), Members: decodeMembers(message.GetMembers()), Relayed: message.GetTold()})
	}
	return lists
}

func decodeAggregates(encoded []*Group) []cluster.Aggregate {
	var aggregates []cluster.Aggregate
	for _, message := range encoded {
		aggregate := cluster.Aggregate{
			ID: message.GetId(), Sequence: message.GetSequence(), Age: time.Duration(message.GetAgeUs()) * time.Microsecond, MemberDigest: message.GetRoster(),
		}
		var levels cluster.Levels
		aggregate.Admitted, aggregate.Asked, levels = decodeWork(message.GetWork())
		aggregate.Running, aggregate.Demand, aggregate.PrefillSamples = levels.Running, levels.Demand, levels.PrefillSamples
		aggregate.PaceLogs, aggregate.PaceSamples, aggregate.MovedEntries = levels.PaceLogs, levels.PaceSamples, levels.MovedEntries
		aggregate.Evidence = decodeEvidence(message.GetWork().GetRolloutCounts())
		aggregate.ShareFigures = levels.ShareFigures
		aggregate.Members = decodeMembers(message.GetMembers())
		aggregates = append(aggregates, aggregate)
	}
	return aggregates
}

func encodeUsage(usage cluster.Usage) *Usage {
	encoded := &Usage{Id: usage.ID, AsOfUs: usage.AsOf.UnixMicro()}
	for number, counts := range usage.Counts.Windows() {
		window := &UsageWindow{Window: number}
		for account, count := range counts {
			window.Accounts, window.Counts = append(window.Accounts, account), append(window.Counts, count)
		}
		encoded.Windows = append(encoded.Windows, window)
	}
	return encoded
}

func decodeUsage(encoded *Usage) cluster.Usage {
	windows := make(map[int64]map[string]int64, len(encoded.GetWindows()))
	for _, window := range encoded.GetWindows() {
		windows[window.GetWindow()] = zipMap(window.GetAccounts(), window.GetCounts())
	}
	return cluster.Usage{ID: encoded.GetId(), Counts: usage.Of(windows), AsOf: time.UnixMicro(encoded.GetAsOfUs())}
}

// zipAmounts is [zipMap] for amounts, which are at least 0: the rounding of a sum may have left less.
func zipAmounts[K comparable](keys []K, amounts []float64) map[K]float64 {
	pairs := zipMap(keys, amounts)
	for key, amount := range pairs {
		pairs[key] = max(0, amount)
	}
	return pairs
}

// zipMap returns a map of the keys to the values at the same indexes, nil for no keys. It drops keys without a value.
func zipMap[K comparable, V any](keys []K, values []V) map[K]V {
	if len(keys) == 0 {
		return nil
	}
	pairs := make(map[K]V, len(keys))
	for i, key := range keys[:min(len(keys), len(values))] {
		pairs[key] = values[i]
	}
	return pairs
}
