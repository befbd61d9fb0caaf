package config

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/store"
)

// Keys in the platform's store.
const (
	// CurrentKey holds the Record in force.
	CurrentKey = "config/current"
	// HistoryPrefix followed by a version holds the Record of a past version.
	HistoryPrefix = "config/history/"
)

// HistoryLimit is the number of past versions that are kept: about 30 MB with
// configurations of 300 KB. The design assumes 840 changes a day.
const HistoryLimit = 100

// maxUndeletedVersions bounds the stamps beyond HistoryLimit that are kept
// while their history keys cannot be deleted.
const maxUndeletedVersions = 100

// Stamp describes an accepted version without its text.
type Stamp struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	File     string `json:"file,omitempty"`
	// AppliedAt is the time by the wall clock of the instance that accepted the
	// change.
	AppliedAt time.Time `json:"applied_at"`
	// RevertOf is the version whose text a revert applied; 0 for any other
	// change.
	RevertOf int64 `json:"revert_of,omitempty"`
}

// Record is the value of CurrentKey and of the history keys, encoded as JSON.
type Record struct {
	Stamp
	Text string `json:"text"`
	// Recent lists the stamps of earlier versions, newest first. It gives the
	// outcome of a write whose answer was lost, even after further changes, and
	// the history without reading the texts. It is empty under history keys.
	Recent []Stamp `json:"recent,omitempty"`
}

// find returns the stamp of the version that a change made, if it is the
// record's or a recent one.
func (r Record) find(changeID string) (Stamp, bool) {
	if r.ChangeID == changeID && r.Version > 0 {
		return r.Stamp, true
	}
	for _, s := range r.Recent {
		if s.ChangeID == changeID {
			return s, true
		}
	}
	return Stamp{}, false
}

// since returns the stamps of the versions after the given one, newest first.
func (r Record) since(version int64) []Stamp {
	var list []Stamp
	for _, s := range r.stamps() {
		if s.Version > version {
			list = append(list, s)
		}
	}
	return list
}

// stamps returns the record's stamp and the recent ones, newest first.
func (r Record) stamps() []Stamp {
	if r.Version == 0 {
		return nil
	}
	return append([]Stamp{r.Stamp}, r.Recent...)
}

func historyKey(version int64) string {
	return HistoryPrefix + strconv.FormatInt(version, 10)
}

func decodeRecord(entry store.Entry) (Record, error) {
	var r Record
	err := json.Unmarshal(entry.Value, &r)
	return r, errors.Wrapf(err, "decode %s", entry.Key)
}

func encodeRecord(r Record) ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(raw) > store.MaxValueBytes {
		return nil, &TooLarge{Bytes: len(raw)}
	}
	return raw, nil
}

// TooLarge is returned for a declaration that does not fit into one value of
// the platform's store.
type TooLarge struct {
	// Bytes is the size of the stored record.
	Bytes int
}

// Error implements error. The message says how to make the declaration smaller.
func (e *TooLarge) Error() string {
	return "the declaration needs " + strconv.Itoa(e.Bytes) + " bytes in the platform, which stores " +
		strconv.Itoa(store.MaxValueBytes) + "; apply the canonical text (bramleywickctl apply -canonical), which leaves out " +
		"comments and defaults, remove members and keys that are no longer used, or split the fleet into two deployments"
}

// versionStamp returns the part of the stamp by which versions are compared.
func (s Stamp) versionStamp() declare.Stamp {
	return declare.Stamp{Version: s.Version, ChangeID: s.ChangeID}
}
