// Package strictjson decodes JSON of peers and backend servers without the leniency of encoding/json, which takes the last of several
// equal keys.
package strictjson
