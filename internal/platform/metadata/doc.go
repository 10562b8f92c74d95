// Package metadata holds what the product needs of a platform's metadata store.
//
// A store keeps items under keys, with one revision counter that rises with each
// change, conditional changes, and leases at whose end their keys are removed. A
// change without an answer may have taken effect, or may take effect later. [Leases]
// turns leases and conditional changes into rights that one holder has at a time.
package metadata
