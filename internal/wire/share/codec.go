package share

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
)

// EncodeServers returns the content of a holding of servers.
func EncodeServers(servers []directory.Server) ([]byte, error) {
	list := &ServerList{Servers: make([]*ListedServer, len(servers))}
	for i, server := range servers {
		list.Servers[i] = &ListedServer{
			Id: server.ID, Service: server.Service, Address: server.Address, Domain: server.Domain, Slots: int32(server.Slots),
			Leaving: server.State == directory.StateLeaving, Born: server.Born, Reclaimable: server.Reclaimable,
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
			Slots: int(server.GetSlots()), State: state, Born: server.GetBorn(), Reclaimable: server.GetReclaimable(),
		}
	}
	return servers, nil
}

func encodeStatement(statement share.Statement) *ShareRequest {
	request := &ShareRequest{
		Sender:    encodeRecord(statement.Sender),
		Ids:       make([]string, len(statement.Versions)),
		Sequences: make([]uint64, len(statement.Versions)),
		Routes:    encodeHolding(statement.Routes),
		Servers:   encodeHolding(statement.Servers),
	}
	for i, version := range statement.Versions {
		request.Ids[i], request.Sequences[i] = version.ID, version.Sequence
	}
	return request
}

func decodeStatement(request *ShareRequest) share.Statement {
	count := min(len(request.GetIds()), len(request.GetSequences()))
	versions := make([]neighbour.Version, count)
	for i := range count {
		versions[i] = neighbour.Version{ID: request.GetIds()[i], Sequence: request.GetSequences()[i]}
	}
	return share.Statement{
		Sender:   decodeRecord(request.GetSender()),
		Versions: versions,
		Routes:   decodeHolding(request.GetRoutes()),
		Servers:  decodeHolding(request.GetServers()),
	}
}

func encodeReply(reply share.Reply) *ShareResponse {
	response := &ShareResponse{Routes: encodeHolding(reply.Routes), Servers: encodeHolding(reply.Servers)}
	for _, record := range reply.Neighbours {
		response.Neighbours = append(response.Neighbours, encodeRecord(record))
	}
	return response
}

func decodeReply(response *ShareResponse) share.Reply {
	reply := share.Reply{Routes: decodeHolding(response.GetRoutes()), Servers: decodeHolding(response.GetServers())}
	for _, neighbour := range response.GetNeighbours() {
		reply.Neighbours = append(reply.Neighbours, decodeRecord(neighbour))
	}
	return reply
}

func encodeHolding(holding share.Holding) *Holding {
	return &Holding{Revision: holding.Revision, AgeUs: holding.Age.Microseconds(), Digest: holding.Digest, Content: holding.Content}
}

func decodeHolding(holding *Holding) share.Holding {
	decoded := share.Holding{
		Revision: holding.GetRevision(),
		Age:      time.Duration(holding.GetAgeUs()) * time.Microsecond,
		Digest:   holding.GetDigest(),
	}
	if len(holding.GetContent()) > 0 {
		decoded.Content = holding.GetContent()
	}
	return decoded
}

func encodeRecord(record neighbour.Record) *Neighbour {
	encoded := &Neighbour{
		Name: record.Name, Address: record.Address, Domain: record.Domain,
		Incarnation: record.Incarnation, Sequence: record.Sequence, Stopping: record.Stopping,
		ClockUs:  record.Clock.UnixMicro(),
		Admitted: record.Admitted,
		Running:  make(map[string]int32, len(record.Running)),
		Leaving:  record.Leaving,
		Demand:   record.Demand,
		Holds:    record.Holds,
	}
	for id, count := range record.Running {
		encoded.Running[id] = int32(count)
	}
	for window, counts := range record.Usage.Windows() {
		encoded.Usage = append(encoded.Usage, &UsageWindow{Window: window, Counts: counts})
	}
	for _, report := range record.Suspects {
		encoded.Suspects = append(encoded.Suspects, &Suspect{
			Account: report.Fingerprint.Account, Content: report.Fingerprint.Content, Server: report.Server, AtUs: report.At.UnixMicro(),
		})
	}
	return encoded
}

func decodeRecord(encoded *Neighbour) neighbour.Record {
	record := neighbour.Record{
		Name: encoded.GetName(), Address: encoded.GetAddress(), Domain: encoded.GetDomain(),
		Incarnation: encoded.GetIncarnation(), Sequence: encoded.GetSequence(), Stopping: encoded.GetStopping(),
		Clock:    time.UnixMicro(encoded.GetClockUs()),
		Admitted: encoded.GetAdmitted(),
		Running:  make(map[string]int, len(encoded.GetRunning())),
		Leaving:  encoded.GetLeaving(),
		Demand:   encoded.GetDemand(),
		Holds:    encoded.GetHolds(),
	}
	for id, count := range encoded.GetRunning() {
		record.Running[id] = int(count)
	}
	for _, window := range encoded.GetUsage() {
		record.Usage = record.Usage.WithWindow(window.GetWindow(), window.GetCounts())
	}
	for _, report := range encoded.GetSuspects() {
		record.Suspects = append(record.Suspects, suspect.Report{
			Fingerprint: suspect.Fingerprint{Account: report.GetAccount(), Content: report.GetContent()},
			Server:      report.GetServer(),
			At:          time.UnixMicro(report.GetAtUs()),
		})
	}
	return record
}
