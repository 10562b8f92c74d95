package suspect

import "time"

// Report is one crash of a server with a request in flight, or the end of a request that finished.
type Report struct {
	Fingerprint Fingerprint
	// Server is the server that crashed, empty when the request finished.
	Server string
	At     time.Time
}

// Expires returns when the report no longer counts.
func (report Report) Expires() time.Time { return report.At.Add(life) }

// Reports returns all that the register holds, in no particular order.
func (register Register) Reports() []Report {
	var reports []Report
	for fingerprint, found := range register.records {
		for server, at := range found.crashes {
			reports = append(reports, Report{Fingerprint: fingerprint, Server: server, At: at})
		}
		if !found.finished.IsZero() {
			reports = append(reports, Report{Fingerprint: fingerprint, At: found.finished})
		}
	}
	return reports
}

// WithReports returns the register joined with reports, in whichever order and however often they come.
func (register Register) WithReports(reports []Report) Register {
	for _, report := range reports {
		news := record{finished: report.At}
		if report.Server != "" {
			news = record{crashes: map[string]time.Time{report.Server: report.At}}
		}
		register = register.Merge(Register{records: map[Fingerprint]record{report.Fingerprint: news}})
	}
	return register
}
