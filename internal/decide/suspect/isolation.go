package suspect

import "maps"

// Isolation records which suspect this entry runs at which server. It is immutable.
type Isolation struct {
	// holds are the running suspects by server id.
	holds map[string]Fingerprint
}

// WithHold returns the isolation with a suspect running at server, or unchanged and false if it must not run
// there.
//
// A server runs one suspect at a time, and a suspect runs at one server at a time.
func (isolation Isolation) WithHold(server string, fingerprint Fingerprint) (Isolation, bool) {
	if _, held := isolation.holds[server]; held {
		return isolation, false
	}
	for _, running := range isolation.holds {
		if running == fingerprint {
			return isolation, false
		}
	}
	holds := maps.Clone(isolation.holds)
	if holds == nil {
		holds = map[string]Fingerprint{}
	}
	holds[server] = fingerprint
	return Isolation{holds: holds}, true
}

// WithRelease returns the isolation after the suspect at server finished or failed.
func (isolation Isolation) WithRelease(server string) Isolation {
	holds := maps.Clone(isolation.holds)
	delete(holds, server)
	return Isolation{holds: holds}
}

// Held returns the servers at which this entry runs a suspect.
func (isolation Isolation) Held() []string {
	servers := make([]string, 0, len(isolation.holds))
	for server := range isolation.holds {
		servers = append(servers, server)
	}
	return servers
}
