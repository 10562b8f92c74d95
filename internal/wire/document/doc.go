// Package document encodes and decodes configuration changes, and the documents in them, as JSON.
//
// Keys are in Pascal case. An unknown, misspelt or repeated key is rejected with an error
// that contains its path. The log stores changes in the same form in which operators write them:
//
//	{"ID": "42", "Base": 17, "Backends": [{"Name": "runner-1", ...}],
//	 "Deletes": [{"Kind": "Account", "Name": "desk"}]}
//
// A file contains any number of JSON values. Each is either a change in this form or a
// single document with its "Kind". Together they make up one change.
package document
