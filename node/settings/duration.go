package settings

import "time"

// Duration is a time.Duration written as text, such as "300ms".
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the form that UnmarshalText reads.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
