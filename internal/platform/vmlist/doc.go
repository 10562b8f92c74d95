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
// requests; VMs of other kinds are ignored. State is Running or Leaving, and
// LeavingSince is present only if State is Leaving. A server that sends an ETag may
// answer 304 while the list is unchanged, which saves traffic: for 2,420 VMs, the
// list is about 500 KB long.
//
// The list may be out of date, so it is only a hint: the state that a VM itself
// reports takes precedence.
package vmlist
