// Package engine is the client of model engines.
//
// It speaks the OpenAI-compatible interface of package openai, always as a
// stream, so that an answer that breaks off can go on at another engine. Closing
// the stream cancels the work at the engine.
//
// There is no published standard for orders to an engine. This client sends
//
//	POST /orders
//	{"Fencing": 7, "Kind": "Load", "Model": "m", "Adapter": "a", "Version": "2"}
//	{"Fencing": 7, "Kind": "Unload", "Model": "m", "Adapter": "a"}
//	{"Fencing": 7, "Kind": "Role", "Role": "Both"}
//
// where Adapter is absent for the model itself, and Role is Both, Prefill or
// Decode. A load replaces another version of the same model or adapter, and the
// engine answers before the weights are read. The answers are
//
//   - 200, 202 or 204: taken on.
//   - 409 with {"Fencing": 9}: refused, since an order with that higher number
//     was accepted before. An engine that ignores fencing numbers never sends it.
//   - 429 or 503: not taken on.
//   - any other status leaves it open whether the order takes effect.
//
// The state is read with
//
//	GET /orders/state
//	{"Fencing": 7, "Role": "Both", "Weights": [{"Model": "m", "Adapter": "a", "Version": "2", "Ready": true}]}
//
// where Fencing is the highest number accepted, absent for an engine that
// ignores them, and Ready is false while weights are read from the weight store.
package engine
