package cataloguer

import "cmp"

// Version identifies one state of the configuration service: a revision in an era.
type Version struct {
	// Era counts how often the configuration service has come back from an older copy; 0 if it does not tell.
	Era int64
	// Revision counts the changes. A new era gives out revisions again that an earlier one has used.
	Revision int64
}

// Compare returns a negative number if v is older than other, 0 if they are equal and a positive number if v is newer. A version of a later era is
// newer, whatever its revision.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// After reports whether v is newer than other.
func (v Version) After(other Version) bool { return v.Compare(other) > 0 }

// Max returns the newer of two versions.
func (v Version) Max(other Version) Version {
	if other.After(v) {
		return other
	}
	return v
}

// Min returns the older of two versions.
func (v Version) Min(other Version) Version {
	if other.After(v) {
		return v
	}
	return other
}
