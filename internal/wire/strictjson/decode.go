package strictjson

import (
	"errors"

	"sigs.k8s.io/json"
)

// Decode decodes the only JSON value of data into target, which distinguishes upper and lower case in keys. It returns an error for a
// repeated key, and ignores unknown ones.
func Decode(data []byte, target any) error {
	keyErrors, err := json.UnmarshalStrict(data, target, json.DisallowDuplicateFields)
	return errors.Join(append(keyErrors, err)...)
}
