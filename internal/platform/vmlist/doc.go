// Package vmlist polls the platform's list of VMs.
//
// The list is one JSON document with Pascal-case keys, read by HTTP GET:
//
//	{"Vms": [{
//	  "Name": "entry-vannes-3",
//	  "Kind": "Entry",
//	  "Address": "10.0.3.7:7000",
//	  "Domain": "Vannes",
//	  "Region": "west",
//	  "State": "Running",
//	  "Started": "2026-11-20T08:00:00Z",
//	  "LeavingSince": "2026-11-21T09:30:00Z"
//	}]}
//
// Kind is Entry, with the address for peers, or Backend, with the address for
// requests; VMs of other kinds are passed over. State is Running or Leaving, and
// LeavingSince is present with Leaving only. A server that sends an ETag may
// answer 304 while the list stays the same, which keeps polls small: at 2,420
// VMs the list has about 500 KB.
//
// The list lags behind the platform, so it serves as a hint: what VMs say of
// themselves goes before it.
package vmlist
