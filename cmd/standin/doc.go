// Standin runs a stand-in for the key-value service, a model engine or a plain service.
package main
