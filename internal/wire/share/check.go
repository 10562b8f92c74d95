package share

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// The port for peers accepts any caller. These bounds are several times what a fleet of 420 entries before 2,000 servers
// sends, so that a message beyond them does not come from a sound entry.
const (
	maxMembers     = 4096
	maxAggregates  = 1024
	maxUsages      = 4096
	maxAccounts    = 16384
	maxServers     = 65536
	maxShareKeys   = 65536
	maxNameBytes   = 256
	maxServerCalls = 1 << 20
	maxReports     = 1024
	// maxAmount bounds what a message says of one client account, service or VM, so that sums of it stay finite.
	maxAmount = 1e18
)

// checkRequest returns an error that says where a request is not one of a sound entry.
func checkRequest(request *ShareRequest) error {
	if err := checkEntryState("sender", request.GetSender()); err != nil {
		return err
	}
	if err := checkAggregates(request.GetGroups()); err != nil {
		return err
	}
	if err := checkUsages(request.GetUsage()); err != nil {
		return err
	}
	if err := checkMemberLists(request.GetRolls()); err != nil {
		return err
	}
	if count := len(request.GetRosters()); count > maxAggregates {
		return fmt.Errorf("%d digests of members, more than %d", count, maxAggregates)
	}
	return checkCachedReads(request.GetRoutes(), request.GetServers())
}

// checkResponse returns an error that says where a response is not one of a sound entry.
func checkResponse(response *ShareResponse) error {
	if err := checkEntryState("replier", response.GetReplier()); err != nil {
		return err
	}
	if err := checkAggregates(response.GetGroups()); err != nil {
		return err
	}
	if err := checkMemberLists(response.GetRolls()); err != nil {
		return err
	}
	return checkCachedReads(response.GetRoutes(), response.GetServers())
}

func checkEntryState(field string, state *Neighbour) error {
	if err := checkMember(field, state.GetMember()); err != nil {
		return err
	}
	if count := len(state.GetLeaving()); count > maxServers {
		return fmt.Errorf("%s: %d leaving servers, more than %d", field, count, maxServers)
	}
	if count := len(state.GetStoppedRollouts()); count > maxAccounts {
		return fmt.Errorf("%s: %d stopped roll-outs, more than %d", field, count, maxAccounts)
	}
	for _, count := range []int{len(state.GetSuspects()), len(state.GetPartSuspects())} {
		if count > maxReports {
			return fmt.Errorf("%s: %d reports of crashes, more than %d", field, count, maxReports)
		}
	}
	if count := len(state.GetReportedWindows()); count > usage.MaxReported {
		return fmt.Errorf("%s: %d reported usage windows, more than %d", field, count, usage.MaxReported)
	}
	if err := checkOwnPaces(field, state.GetWork().GetServerPaces()); err != nil {
		return err
	}
	return checkWork(field, state.GetWork())
}

func checkAggregates(aggregates []*Group) error {
	if count := len(aggregates); count > maxAggregates {
		return fmt.Errorf("%d aggregates, more than %d", count, maxAggregates)
	}
	for i, aggregate := range aggregates {
		field := fmt.Sprintf("aggregate %d", i)
		if err := checkAge(field, aggregate.GetAgeUs()); err != nil {
			return err
		}
		if err := checkMembers(field, aggregate.GetMembers()); err != nil {
			return err
		}
		if err := checkWork(field, aggregate.GetWork()); err != nil {
			return err
		}
	}
	return nil
}

func checkMemberLists(lists []*Roll) error {
	if count := len(lists); count > maxAggregates {
		return fmt.Errorf("%d member lists, more than %d", count, maxAggregates)
	}
	for i, list := range lists {
		if err := checkMembers(fmt.Sprintf("member list %d", i), list.GetMembers()); err != nil {
			return err
		}
	}
	return nil
}

func checkMembers(field string, members []*Member) error {
	if count := len(members); count > maxMembers {
		return fmt.Errorf("%s: %d members, more than %d", field, count, maxMembers)
	}
	for i, member := range members {
		if err := checkMember(fmt.Sprintf("%s: member %d", field, i), member); err != nil {
			return err
		}
	}
	return nil
}

func checkMember(field string, member *Member) error {
	name := member.GetName()
	if name == "" || len(name) > maxNameBytes || len(member.GetDomain()) > maxNameBytes {
		return fmt.Errorf("%s: the name or failure domain is empty or longer than %d bytes", field, maxNameBytes)
	}
	if _, err := netip.ParseAddrPort(member.GetAddress()); err != nil {
		return fmt.Errorf("%s: the address is not an IP:port: %w", field, err)
	}
	if !isAmount(member.GetPower()) {
		return fmt.Errorf("%s: %v cores", field, member.GetPower())
	}
	return nil
}

func checkWork(field string, work *Work) error {
	if count := max(len(work.GetAccounts()), len(work.GetServices())); count > maxAccounts {
		return fmt.Errorf("%s: %d client accounts or services, more than %d", field, count, maxAccounts)
	}
	if count := len(work.GetServers()); count > maxServers {
		return fmt.Errorf("%s: calls at %d servers, more than %d", field, count, maxServers)
	}
	if count := len(work.GetShareKeys()); count > maxShareKeys {
		return fmt.Errorf("%s: %d figures of sharing, more than %d", field, count, maxShareKeys)
	}
	for _, amounts := range [][]float64{work.GetAdmitted(), work.GetAsked(), work.GetDemand(), work.GetShareFigures()} {
		for _, amount := range amounts {
			if !isAmount(amount) {
				return fmt.Errorf("%s: an amount is %v", field, amount)
			}
		}
	}
	if err := checkPrefillSamples(field, work.GetPrefillSamples()); err != nil {
		return err
	}
	if err := checkServerPaces(field, work.GetServerPaces()); err != nil {
		return err
	}
	if err := checkRollouts(field, work); err != nil {
		return err
	}
	for _, calls := range work.GetRunning() {
		if calls > maxServerCalls {
			return fmt.Errorf("%s: %d calls at a server, more than %d", field, calls, maxServerCalls)
		}
	}
	return nil
}

func checkPrefillSamples(field string, encoded []*PrefillSamples) error {
	if count := len(encoded); count > maxAccounts {
		return fmt.Errorf("%s: samples of %d services, more than %d", field, count, maxAccounts)
	}
	for _, samples := range encoded {
		for _, level := range samples.GetLevels() {
			if level > prefill.MaxLevel {
				return fmt.Errorf("%s: samples of service %s in range %d, above %d", field, samples.GetService(), level, prefill.MaxLevel)
			}
		}
		for _, count := range samples.GetCounts() {
			if count > prefill.MaxCount {
				return fmt.Errorf("%s: %d samples of service %s in one range, more than %d", field, count, samples.GetService(), prefill.MaxCount)
			}
		}
	}
	return nil
}

func checkUsages(usages []*Usage) error {
	if count := len(usages); count > maxUsages {
		return fmt.Errorf("usage of %d entries, more than %d", count, maxUsages)
	}
	for i, usage := range usages {
		for _, window := range usage.GetWindows() {
			if count := len(window.GetAccounts()); count > maxAccounts {
				return fmt.Errorf("usage %d: %d client accounts, more than %d", i, count, maxAccounts)
			}
			if accounts, counts := len(window.GetAccounts()), len(window.GetCounts()); accounts != counts {
				return fmt.Errorf("usage %d: %d client accounts with %d counts", i, accounts, counts)
			}
			for _, count := range window.GetCounts() {
				if count < 0 {
					return fmt.Errorf("usage %d: a count is %d", i, count)
				}
			}
		}
	}
	return nil
}

// checkCachedReads returns an error if a copy of the store's data claims to be younger than its sender's message, or if a
// difference of the list of servers has one that is none. A configuration from the future would count as current after its keys
// have been revoked. A whole list is checked by the codec that decodes it.
func checkCachedReads(routes, servers *Holding) error {
	for _, read := range []*Holding{routes, servers} {
		if revision := read.GetRevision(); revision < 0 || directory.Era(revision) > directory.MaxEra {
			return fmt.Errorf("copy of the store at revision %d, below 0 or of an era above %d", revision, directory.MaxEra)
		}
	}
	if err := checkAge("configuration", routes.GetAgeUs()); err != nil {
		return err
	}
	if err := checkAge("list of servers", servers.GetAgeUs()); err != nil {
		return err
	}
	return CheckServers(decodeListedServers(servers.GetDelta().GetChanged()))
}

const (
	// maxSlots bounds the slots of a server, far beyond any engine. Entries pass them on in 32 bits.
	maxSlots = 1_000_000
	// maxStartMs is the end of the year 9999 in Unix milliseconds.
	maxStartMs = 253_402_300_799_999
)

// CheckServers returns an error that says which of the servers of a list is none, or is not in the order of the ids, on which
// differences of lists rely.
func CheckServers(servers []directory.Server) error {
	for i, server := range servers {
		if err := CheckServer(server); err != nil {
			return err
		}
		if i > 0 && server.ID <= servers[i-1].ID {
			return fmt.Errorf("server %q follows %q in a list", server.ID, servers[i-1].ID)
		}
	}
	return nil
}

// CheckServer returns an error if calls cannot be sent to a server, whoever reported it.
func CheckServer(server directory.Server) error {
	if server.ID == "" || server.Service == "" {
		return fmt.Errorf("server %q of service %q has no id or no service", server.ID, server.Service)
	}
	address, err := netip.ParseAddrPort(server.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return fmt.Errorf("server %q has the address %q", server.ID, server.Address)
	}
	if server.Slots <= 0 || server.Slots > maxSlots || server.StartedMs < 0 || server.StartedMs > maxStartMs {
		return fmt.Errorf("server %q has %d slots and the start time %d", server.ID, server.Slots, server.StartedMs)
	}
	return nil
}

// maxAgeUs is the largest age of which a [time.Duration] does not overflow, in microseconds.
const maxAgeUs = math.MaxInt64 / 1000

func checkAge(field string, ageUs int64) error {
	if ageUs < 0 || ageUs > maxAgeUs {
		return fmt.Errorf("%s: the age is %d µs", field, ageUs)
	}
	return nil
}

// isFromFuture reports whether the time of a report, in Unix microseconds, can only be that of a wrong clock. Such a report would count
// until its time has come. It is dropped alone: a message is not malformed because its sender's clock, or one before it, is wrong.
func isFromFuture(atUs int64) bool { return time.Until(time.UnixMicro(atUs)) > suspect.MaxClockLead }

// isAmount reports whether a number is finite and within its bound. One below 0 is rounding of a sum, which the decoder
// takes for 0.
func isAmount(number float64) bool { return math.Abs(number) <= maxAmount }
