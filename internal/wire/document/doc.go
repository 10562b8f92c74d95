// Package document is the JSON form of changes and of the documents in them.
//
// Keys are Pascal case; an unknown, misspelt or repeated key is refused, and
// errors say where it is. The log stores the same form that operators write:
//
//	{"ID": "42", "Base": 17, "Backends": [{"Name": "runner-1", ...}],
//	 "Deletes": [{"Kind": "Account", "Name": "desk"}]}
//
// A file holds any number of JSON values, each either in this form or a single
// document with its "Kind"; together they are one change.
package document
