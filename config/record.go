package config

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/store"
)

// Keys of the platform's service.
const (
	// CurrentKey holds the Record in force.
	CurrentKey = "config/current"
	// HistoryPrefix followed by a version holds the Record of that version.
	HistoryPrefix = "config/history/"
)

// HistoryLimit is the number of past versions that are kept. At the design's
// 840 changes a day and a configuration of 300 KB this is about 30 MB.
const HistoryLimit = 100

// historyOverhang is how many stamps beyond HistoryLimit are kept while their
// history keys cannot be deleted.
const historyOverhang = 100

// Stamp describes one accepted version without its text.
type Stamp struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	File     string `json:"file,omitempty"`
	// AppliedAt is the wall clock of the instance that accepted the change.
	AppliedAt time.Time `json:"applied_at"`
	// RevertOf is the version whose text was taken, 0 for a plain apply.
	RevertOf int64 `json:"revert_of,omitempty"`
}

// Record is the value of CurrentKey and of the history keys.
type Record struct {
	Stamp
	Text string `json:"text"`
	// Recent are the stamps of earlier versions, newest first. They settle
	// a write whose answer was lost even after another change followed, and
	// serve the history without reading the texts.
	Recent []Stamp `json:"recent,omitempty"`
}

// find returns the stamp of a change among the record and its past.
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

// since returns the stamps newer than a version, newest first.
func (r Record) since(version int64) []Stamp {
	var list []Stamp
	for _, s := range r.stamps() {
		if s.Version > version {
			list = append(list, s)
		}
	}
	return list
}

// stamps returns the record's stamp and those of its past, newest first.
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

// TooLarge refuses a declaration that does not fit into one platform value.
type TooLarge struct {
	// Bytes is the size of the stored record.
	Bytes int
}

// Error implements error with advice.
func (e *TooLarge) Error() string {
	return "the declaration needs " + strconv.Itoa(e.Bytes) + " bytes in the platform, which stores " +
		strconv.Itoa(store.MaxValueBytes) + "; apply the canonical text (bramleywickctl apply -canonical), which leaves out " +
		"comments and defaults, remove members and keys that are no longer used, or split the fleet into two deployments"
}

// versionStamp is the part of a stamp that the version rules judge.
func (s Stamp) versionStamp() declare.Stamp {
	return declare.Stamp{Version: s.Version, ChangeID: s.ChangeID}
}
