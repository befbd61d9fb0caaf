package store

// A store may come back from an older copy of itself. It has lost then what was
// written since, and gives its revisions out a second time. Its era counts how often
// this has happened. A Revision holds the era in its upper bits, so that revisions
// rise for ever, and one of an earlier era is never taken for one of the present.

// eraShift is the number of bits of the store's own revision.
const eraShift = 40

// Revision returns the revision that stands for the store's own revision number in an
// era. It is 0 for a key that does not exist, in any era.
func Revision(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era<<eraShift | number
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> eraShift }

// NumberOf returns the store's own revision number.
func NumberOf(revision int64) int64 { return revision & (1<<eraShift - 1) }
