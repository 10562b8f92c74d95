// Package engine is the client of model engines.
//
// A [Client] sends completions over the OpenAI-compatible interface of package
// openai. It always requests a stream, so that an interrupted answer can be resumed
// at another engine. Closing the stream cancels the work at the engine.
//
// An [OrderClient] sends orders, for which there is no published standard:
//
//	POST /orders
//	{"Fencing": 7, "Kind": "Load", "Model": "m", "Adapter": "a", "Version": "2"}
//	{"Fencing": 7, "Kind": "Unload", "Model": "m", "Adapter": "a"}
//	{"Fencing": 7, "Kind": "Role", "Role": "Both"}
//
// where Adapter is absent for the model itself, and Role is Both, Prefill or
// Decode. A load replaces another version of the same model or adapter, and the
// engine answers before it has loaded the weights. The answers are
//
//   - 200, 202 or 204: accepted.
//   - 409 with {"Fencing": 9}: rejected, since an order with that higher number
//     was accepted before. An engine that ignores fencing numbers never sends it.
//   - 429 or 503: not accepted.
//   - any other status: unknown whether the order takes effect.
//
// The state of an engine is read with
//
//	GET /orders/state
//	{"Fencing": 7, "Role": "Both", "Weights": [{"Model": "m", "Adapter": "a", "Version": "2", "Ready": true}]}
//
// where Fencing is the highest number accepted, absent for an engine that
// ignores fencing numbers, and Ready is false while the engine loads the weights
// from the weight store.
package engine
