// Standin runs a stand-in for the key-value service, a model engine or a plain service, sends test load to
// entries, or measures the costs of an entry. Package internal/command/standin describes its commands.
package main
