package share

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
)

// EncodeServers returns the content of a holding of servers.
func EncodeServers(servers []directory.Server) ([]byte, error) {
	list := &ServerList{Servers: make([]*ListedServer, len(servers))}
	for i, server := range servers {
		list.Servers[i] = &ListedServer{
			Id: server.ID, Service: server.Service, Address: server.Address, Domain: server.Domain, Slots: int32(server.Slots),
			Leaving: server.State == directory.StateLeaving, Born: server.StartedMs, Reclaimable: server.Reclaimable,
		}
	}
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(list)
	return content, fault.Wrap(err, StepShare, "")
}

// DecodeServers reads the content of a holding of servers.
func DecodeServers(content []byte) ([]directory.Server, error) {
	list := &ServerList{}
	if err := proto.Unmarshal(content, list); err != nil {
		return nil, fault.Wrap(err, StepShare, "")
	}
	servers := make([]directory.Server, len(list.GetServers()))
	for i, server := range list.GetServers() {
		state := directory.StateReady
		if server.GetLeaving() {
			state = directory.StateLeaving
		}
		servers[i] = directory.Server{
			ID: server.GetId(), Service: server.GetService(), Address: server.GetAddress(), Domain: server.GetDomain(),
			Slots: int(server.GetSlots()), State: state, StartedMs: server.GetBorn(), Reclaimable: server.GetReclaimable(),
		}
	}
	return servers, nil
}

func encodeStatement(statement share.StateMessage) *ShareRequest {
	request := &ShareRequest{
		Sender:  encodeRecord(statement.Sender),
		Reports: statement.IsHeartbeat,
		Groups:  encodeGroups(statement.Aggregates),
		Usage:   make([]*Usage, len(statement.Usage)),
		Rolls:   encodeRolls(statement.MemberLists),
		Rosters: make([]*Roster, len(statement.MemberDigests)),
		Routes:  encodeHolding(statement.Routes),
		Servers: encodeHolding(statement.Servers),
	}
	for i, record := range statement.Usage {
		request.Usage[i] = encodeUsage(record)
	}
	for i, roster := range statement.MemberDigests {
		request.Rosters[i] = &Roster{Id: roster.ID, Digest: roster.Digest}
	}
	return request
}

func decodeStatement(request *ShareRequest) share.StateMessage {
	statement := share.StateMessage{
		Sender:      decodeRecord(request.GetSender()),
		IsHeartbeat: request.GetReports(),
		Aggregates:  decodeGroups(request.GetGroups()),
		MemberLists: decodeRolls(request.GetRolls()),
		Routes:      decodeHolding(request.GetRoutes()),
		Servers:     decodeHolding(request.GetServers()),
	}
	for _, record := range request.GetUsage() {
		statement.Usage = append(statement.Usage, decodeUsage(record))
	}
	for _, roster := range request.GetRosters() {
		statement.MemberDigests = append(statement.MemberDigests, cluster.MemberDigest{ID: roster.GetId(), Digest: roster.GetDigest()})
	}
	return statement
}

func encodeReply(reply share.Reply) *ShareResponse {
	return &ShareResponse{
		Replier: encodeRecord(reply.Replier), Groups: encodeGroups(reply.Aggregates), Rolls: encodeRolls(reply.MemberLists), Roster: reply.MemberDigest,
		Routes: encodeHolding(reply.Routes), Servers: encodeHolding(reply.Servers),
	}
}

func decodeReply(response *ShareResponse) share.Reply {
	return share.Reply{
		Replier: decodeRecord(response.GetReplier()), Aggregates: decodeGroups(response.GetGroups()), MemberLists: decodeRolls(response.GetRolls()), MemberDigest: response.GetRoster(),
		Routes: decodeHolding(response.GetRoutes()), Servers: decodeHolding(response.GetServers()),
	}
}

func encodeHolding(holding share.CachedRead) *Holding {
	return &Holding{Revision: holding.Revision, AgeUs: holding.Age.Microseconds(), Digest: holding.Digest, Content: holding.Content}
}

func decodeHolding(holding *Holding) share.CachedRead {
	decoded := share.CachedRead{
		Revision: holding.GetRevision(),
		Age:      time.Duration(holding.GetAgeUs()) * time.Microsecond,
		Digest:   holding.GetDigest(),
	}
	if len(holding.GetContent()) > 0 {
		decoded.Content = holding.GetContent()
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

func decodeMembers(encoded []*Member) []cluster.Member {
	var members []cluster.Member
	for _, member := range encoded {
		members = append(members, decodeMember(member))
	}
	return members
}

func encodeRecord(record cluster.EntryState) *Neighbour {
	encoded := &Neighbour{
		Member:   encodeMember(record.Member),
		Sequence: record.Sequence,
		ClockUs:  record.Clock.UnixMicro(),
		Work:     encodeWork(record.Admitted, record.Running, record.Demand),
		Leaving:  record.Leaving,
	}
	for _, report := range record.Suspects {
		encoded.Suspects = append(encoded.Suspects, &Suspect{
			Account: report.Fingerprint.Account, Content: report.Fingerprint.Content, Server: report.Server, AtUs: report.At.UnixMicro(),
		})
	}
	return encoded
}

func decodeRecord(encoded *Neighbour) cluster.EntryState {
	record := cluster.EntryState{
		Member: decodeMember(encoded.GetMember()), Sequence: encoded.GetSequence(),
		Clock: time.UnixMicro(encoded.GetClockUs()), Leaving: encoded.GetLeaving(),
	}
	record.Admitted, record.Running, record.Demand = decodeWork(encoded.GetWork())
	for _, report := range encoded.GetSuspects() {
		record.Suspects = append(record.Suspects, suspect.Report{
			Fingerprint: suspect.Fingerprint{Account: report.GetAccount(), Content: report.GetContent()},
			Server:      report.GetServer(),
			At:          time.UnixMicro(report.GetAtUs()),
		})
	}
	return record
}

func encodeGroups(groups []cluster.Aggregate) []*Group {
	encoded := make([]*Group, len(groups))
	for i, group := range groups {
		encoded[i] = &Group{
			Id: group.ID, Sequence: group.Sequence, AgeUs: group.Age.Microseconds(), Roster: group.MemberDigest, Work: encodeWork(group.Admitted, group.Running, group.Demand),
		}
		encoded[i].Members = encodeMembers(group.Members)
	}
	return encoded
}

func encodeRolls(rolls []cluster.MemberList) []*Roll {
	encoded := make([]*Roll, len(rolls))
	for i, roll := range rolls {
		encoded[i] = &Roll{By: roll.Origin, Members: encodeMembers(roll.Members), Told: roll.Relayed}
	}
	return encoded
}

func decodeRolls(encoded []*Roll) []cluster.MemberList {
	var rolls []cluster.MemberList
	for _, message := range encoded {
		rolls = append(rolls, cluster.MemberList{Origin: message.GetBy(), Members: decodeMembers(message.GetMembers()), Relayed: message.GetTold()})
	}
	return rolls
}

func decodeGroups(encoded []*Group) []cluster.Aggregate {
	var groups []cluster.Aggregate
	for _, message := range encoded {
		group := cluster.Aggregate{
			ID: message.GetId(), Sequence: message.GetSequence(), Age: time.Duration(message.GetAgeUs()) * time.Microsecond, MemberDigest: message.GetRoster(),
		}
		group.Admitted, group.Running, group.Demand = decodeWork(message.GetWork())
		group.Members = decodeMembers(message.GetMembers())
		groups = append(groups, group)
	}
	return groups
}

func encodeWork(admitted map[string]float64, running map[uint32]int, demand map[string]float64) *Work {
	work := &Work{}
	for account, total := range admitted {
		work.Accounts, work.Admitted = append(work.Accounts, account), append(work.Admitted, total)
	}
	for server, count := range running {
		work.Servers, work.Running = append(work.Servers, server), append(work.Running, uint32(max(0, count)))
	}
	for service, tokens := range demand {
		work.Services, work.Demand = append(work.Services, service), append(work.Demand, tokens)
	}
	return work
}

func decodeWork(work *Work) (admitted map[string]float64, running map[uint32]int, demand map[string]float64) {
	admitted = paired(work.GetAccounts(), work.GetAdmitted())
	demand = paired(work.GetServices(), work.GetDemand())
	counts := paired(work.GetServers(), work.GetRunning())
	if counts != nil {
		running = make(map[uint32]int, len(counts))
	}
	for server, count := range counts {
		running[server] = int(count)
	}
	return admitted, running, demand
}

func encodeUsage(record cluster.Usage) *Usage {
	encoded := &Usage{Id: record.ID}
	for number, counts := range record.Counts.Windows() {
		window := &UsageWindow{Window: number}
		for account, count := range counts {
			window.Accounts, window.Counts = append(window.Accounts, account), append(window.Counts, count)
		}
		encoded.Windows = append(encoded.Windows, window)
	}
	return encoded
}

func decodeUsage(encoded *Usage) cluster.Usage {
	record := cluster.Usage{ID: encoded.GetId()}
	for _, window := range encoded.GetWindows() {
		record.Counts = record.Counts.WithWindow(window.GetWindow(), paired(window.GetAccounts(), window.GetCounts()))
	}
	return record
}

// paired returns the values by their keys, nil for none. Keys without a value are left out.
func paired[K comparable, V any](keys []K, values []V) map[K]V {
	if len(keys) == 0 {
		return nil
	}
	pairs := make(map[K]V, len(keys))
	for i, key := range keys[:min(len(keys), len(values))] {
		pairs[key] = values[i]
	}
	return pairs
}
